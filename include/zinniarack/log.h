#ifndef ZINNIARACK_LOG_H
#define ZINNIARACK_LOG_H

/**
 * DOC: Log
 *
 * Log lines are written with log4c, to standard error by default. The message
 * of a line consists of an event name and `name=value` fields, so that
 * operators can search for them. Routing and placement decisions are logged
 * with zr_log_decision() in a category of their own, at every level except
 * ZR_LOG_ERROR.
 */

/**
 * enum zr_log_level - severity of a line, most severe first
 */
enum zr_log_level {
	ZR_LOG_ERROR,
	ZR_LOG_WARN,
	ZR_LOG_INFO,
	ZR_LOG_DEBUG,
};

/**
 * enum zr_log_format - output format of the lines
 */
enum zr_log_format {
	ZR_LOG_TEXT,
	ZR_LOG_JSON,
};

/**
 * zr_log_init() - open the log
 * @process: name of this process, part of every line; kept by reference
 * @level: least severe level that is written
 * @format: output format of the lines
 *
 * Return: 0, or ZR_E_IO if log4c cannot be initialised.
 */
int zr_log_init(const char *process, enum zr_log_level level,
		enum zr_log_format format);

/**
 * zr_log_use_stdout() - write lines to standard output, without blocking
 *
 * Must be called before zr_log_init(). Lines are dropped while the reader of
 * standard output is too slow, and after ZR_LOG_LINES_PER_S lines in the same
 * second. A `log.dropped` line then reports the number of dropped lines.
 */
void zr_log_use_stdout(void);

/** Maximum number of lines that are written to standard output per second. */
#define ZR_LOG_LINES_PER_S 2000

/**
 * zr_log_set_level() - change the log level
 * @level: least severe level that is written
 */
void zr_log_set_level(enum zr_log_level level);

/** zr_log_close() - close the log */
void zr_log_close(void);

/**
 * zr_log() - write a line
 * @level: severity of the line
 * @fmt: printf format of an event name and `name=value` fields
 */
void zr_log(enum zr_log_level level, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * zr_log_decision() - write a line about a routing or placement decision
 * @fmt: printf format of an event name and `name=value` fields, among them the
 *	id that the decision is about and the reason
 */
void zr_log_decision(const char *fmt, ...)
	__attribute__((format(printf, 1, 2)));

#endif
