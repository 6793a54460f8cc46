#ifndef ZINNIARACK_SETTINGS_H
#define ZINNIARACK_SETTINGS_H

#include <stdint.h>

#include "zinniarack/config.h"
#include "zinniarack/log.h"

/**
 * DOC: Settings of an entry host
 *
 * One YAML file holds the settings of the entry daemon and the scheduler daemon
 * of one host. Both read it at start and exit if it has an error.
 */

/**
 * struct zr_settings - settings of one entry host
 * @name: the host's name, unique in the system
 * @failure_domain: failure domain of the host
 * @store: address of the key-value store
 * @host_list: address of the host list service
 * @charts: folder of the state charts; see zr_charts_use()
 * @entry: addresses that the entry daemon listens on
 * @scheduler: addresses that the scheduler daemon listens on
 * @log: level and format of the log
 * @limits: limits on the callers of the entry daemon
 * @operators: operators' API keys that are valid under every configuration, to
 *	load the first one and to repair one that locks its operators out
 * @operators_count: number of these keys
 */
struct zr_settings {
	char *name;
	char *failure_domain;
	char *store;
	char *host_list;
	char *charts;
	struct {
		char *http; /* for callers and operators */
		char *rpc;  /* for peers */
	} entry;
	struct {
		char *http; /* for metrics */
		char *rpc;  /* for entry daemons and peers */
	} scheduler;
	struct {
		enum zr_log_level level;
		enum zr_log_format format;
	} log;
	struct {
		uint32_t body_bytes;	     /* max. size of a request body */
		uint32_t request_timeout_ms; /* for receiving a request */
		uint32_t connections;	     /* max. open from callers */
		uint32_t message_memory_mb;  /* of all connections; 0: derive */
	} limits;
	struct zr_config_key *operators;
	uint32_t operators_count;
};

/**
 * zr_settings_load() - read and check a settings file
 * @out: the settings; free with zr_settings_free()
 * @path: the file
 *
 * Return: 0, ZR_E_NOT_FOUND, ZR_E_TOO_LARGE, ZR_E_NOMEM or ZR_E_INVALID;
 * zr_error_last() has the file, line, field and what is allowed there.
 */
int zr_settings_load(struct zr_settings **out, const char *path);

/** zr_settings_free() - free settings, or do nothing for NULL */
void zr_settings_free(struct zr_settings *settings);

#endif
