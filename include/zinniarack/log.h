#ifndef ZINNIARACK_LOG_H
#define ZINNIARACK_LOG_H

/**
 * DOC: Log
 *
 * Log lines go through log4c to standard error. A line starts with an event
 * name and holds `name=value` fields, so that operators can search it.
 * Routing and placement decisions use zr_log_decision(), which has a category
 * of its own and is on by default.
 */

/**
 * enum zr_log_level - how much is logged
 */
enum zr_log_level {
	ZR_LOG_ERROR,
	ZR_LOG_WARN,
	ZR_LOG_INFO,
	ZR_LOG_DEBUG,
};

/**
 * enum zr_log_format - the form of a line
 */
enum zr_log_format {
	ZR_LOG_TEXT,
	ZR_LOG_JSON,
};

/**
 * zr_log_init() - open the log
 * @process: the name of this process, put on every line
 * @level: the least severe level that is written
 * @format: the form of the lines
 *
 * Return: 0, or ZR_E_IO when log4c refuses.
 */
int zr_log_init(const char *process, enum zr_log_level level,
		enum zr_log_format format);

/**
 * zr_log_use_stdout() - write lines to standard output, without ever waiting
 *
 * To be called before zr_log_init(). Lines are dropped, and counted in a line
 * of their own, while the reader does not keep up or when a second holds more
 * than ZR_LOG_LINES_PER_S of them.
 */
void zr_log_use_stdout(void);

/** Lines that a process writes to standard output in one second at most. */
#define ZR_LOG_LINES_PER_S 2000

/** zr_log_set_level() - the least severe level written from now on */
void zr_log_set_level(enum zr_log_level level);

/** zr_log_close() - flush and close the log */
void zr_log_close(void);

/**
 * zr_log() - write a line
 * @level: its severity
 * @fmt: printf format: an event name and `name=value` fields
 */
void zr_log(enum zr_log_level level, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * zr_log_decision() - write the line of a routing or placement decision
 * @fmt: printf format: what was decided, for which id, and the reason
 */
void zr_log_decision(const char *fmt, ...)
	__attribute__((format(printf, 1, 2)));

#endif
