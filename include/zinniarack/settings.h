#ifndef ZINNIARACK_SETTINGS_H
#define ZINNIARACK_SETTINGS_H

#include <stdint.h>

#include "zinniarack/config.h"
#include "zinniarack/log.h"

/**
 * DOC: Settings of a host
 *
 * One YAML file holds the settings of the processes of one entry host. Both
 * daemons read it at start; a file with an error stops the start.
 */

/**
 * struct zr_settings - settings of one entry host
 * @name: the host's name, unique in the system
 * @failure_domain: the failure domain it stands in
 * @store: address of the key-value store
 * @host_list: address of the host list
 * @charts: folder of the state charts
 * @entry: addresses of the entry daemon
 * @scheduler: addresses of the scheduler daemon
 * @log: level and format of the log
 * @limits: limits on callers
 * @operators: keys of operators that hold whatever the configuration says, to
 *	load the first one and to mend one that locks its operators out
 */
struct zr_settings {
	char *name;
	char *failure_domain;
	char *store;
	char *host_list;
	char *charts;
	struct {
		char *http; /* callers and operators */
		char *rpc;  /* peers */
	} entry;
	struct {
		char *http; /* metrics */
		char *rpc;  /* entry daemons and peers */
	} scheduler;
	struct {
		enum zr_log_level level;
		enum zr_log_format format;
	} log;
	struct {
		uint32_t body_bytes;	     /* largest request body */
		uint32_t request_timeout_ms; /* to send a whole request */
		uint32_t connections;	     /* open at once from callers */
	} limits;
	struct zr_config_key *operators;
	uint32_t operators_count;
};

/**
 * zr_settings_load() - read and check a settings file
 * @out: the settings, to be freed with zr_settings_free()
 * @path: the file
 *
 * Return: 0, ZR_E_NOT_FOUND or ZR_E_INVALID; zr_error_last() names file, line,
 * field and what is allowed.
 */
int zr_settings_load(struct zr_settings **out, const char *path);

/** zr_settings_free() - free settings, or do nothing for NULL */
void zr_settings_free(struct zr_settings *settings);

#endif
