#include "zinniarack/log.h"

#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "zinniarack/errors.h"

#define LINE_MAX_BYTES 2048

static log4c_category_t *event_category;
static log4c_category_t *decision_category;
static const char *process_name = "zinniarack";
static enum zr_log_format line_format = ZR_LOG_TEXT;

static const char *json_escape(char *out, size_t size, const char *text)
{
	size_t used = 0;

	/* An escaped character takes up to 6 bytes; the NUL needs one more. */
	for (; *text && used + 7 < size; text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\') {
			out[used++] = '\\';
			out[used++] = (char)c;
		} else if (c < 0x20) {
			used += (size_t)snprintf(out + used, size - used,
						 "\\u%04x", c);
		} else {
			out[used++] = (char)c;
		}
	}
	out[used] = '\0';
	return out;
}

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	static char line[2 * LINE_MAX_BYTES];
	static char escaped[LINE_MAX_BYTES + LINE_MAX_BYTES / 2];
	const char *level = log4c_priority_to_string(event->evt_priority);
	struct timespec now;
	struct tm tm;
	char timestamp[32];

	(void)layout;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
	if (line_format == ZR_LOG_JSON)
		snprintf(line, sizeof(line),
			 "{\"time\":\"%s.%03ldZ\",\"level\":\"%s\","
			 "\"process\":\"%s\",\"category\":\"%s\","
			 "\"message\":\"%s\"}\n",
			 timestamp, now.tv_nsec / 1000000, level, process_name,
			 event->evt_category,
			 json_escape(escaped, sizeof(escaped), event->evt_msg));
	else
		snprintf(line, sizeof(line), "%s.%03ldZ %-5s %s %s %s\n",
			 timestamp, now.tv_nsec / 1000000, level, process_name,
			 event->evt_category, event->evt_msg);
	return line;
}

static const log4c_layout_type_t layout_type = {
	.name = "zinniarack",
	.format = format_line,
};

/* Standard output: written without blocking, at a limited rate */

static bool use_stdout;
static struct {
	time_t second;	       /* current second of the monotonic clock */
	unsigned int lines;    /* lines in that second, dropped ones included */
	unsigned long dropped; /* lines not reported as dropped yet */
} stdout_state;

static bool exceeds_line_rate(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	if (now.tv_sec != stdout_state.second) {
		stdout_state.second = now.tv_sec;
		stdout_state.lines = 0;
	}
	return ++stdout_state.lines > ZR_LOG_LINES_PER_S;
}

static bool write_stdout(const char *line)
{
	size_t length = strlen(line);

	/*
	 * A partial write counts as a failure: nothing marks the line as
	 * truncated, so a reader could mistake it for a complete one.
	 */
	return write(STDOUT_FILENO, line, length) == (ssize_t)length;
}

static int write_stdout_line(const char *line)
{
	char dropped_line[64];

	if (exceeds_line_rate()) {
		stdout_state.dropped++;
		return 0;
	}
	if (stdout_state.dropped) {
		snprintf(dropped_line, sizeof(dropped_line),
			 "log.dropped lines=%lu\n", stdout_state.dropped);
		if (!write_stdout(dropped_line))
			return 0;
		stdout_state.dropped = 0;
	}
	if (!write_stdout(line))
		stdout_state.dropped++;
	return 0;
}

void zr_log_use_stdout(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	use_stdout = true;
}

static int append_event(log4c_appender_t *appender,
			const log4c_logging_event_t *event)
{
	(void)appender;
	if (use_stdout)
		return write_stdout_line(event->evt_rendered_msg);
	return fputs(event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

/* The stream appenders of log4c would put their own name before each line. */
static const log4c_appender_type_t appender_type = {
	.name = "zinniarack",
	.append = append_event,
};

static int log4c_priority(enum zr_log_level level)
{
	switch (level) {
	case ZR_LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case ZR_LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case ZR_LOG_INFO:
		return LOG4C_PRIORITY_INFO;
	default:
		return LOG4C_PRIORITY_DEBUG;
	}
}

static log4c_category_t *configure_category(const char *name, int priority,
					    log4c_appender_t *appender)
{
	log4c_category_t *category = log4c_category_get(name);

	log4c_category_set_additivity(category, 0);
	log4c_category_set_priority(category, priority);
	log4c_category_set_appender(category, appender);
	return category;
}

static int log4c_decision_priority(enum zr_log_level level)
{
	return level == ZR_LOG_ERROR ? LOG4C_PRIORITY_ERROR
				     : LOG4C_PRIORITY_INFO;
}

void zr_log_set_level(enum zr_log_level level)
{
	log4c_category_set_priority(event_category, log4c_priority(level));
	log4c_category_set_priority(decision_category,
				    log4c_decision_priority(level));
}

int zr_log_init(const char *process, enum zr_log_level level,
		enum zr_log_format format)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	process_name = process;
	line_format = format;
	if (log4c_init())
		return zr_error_set(ZR_E_IO, "cannot initialise log4c");
	log4c_layout_type_set(&layout_type);
	layout = log4c_layout_get("zinniarack");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_type_set(&appender_type);
	appender = log4c_appender_get("zinniarack");
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	event_category =
		configure_category("event", log4c_priority(level), appender);
	decision_category = configure_category(
		"decision", log4c_decision_priority(level), appender);
	return 0;
}

void zr_log_close(void)
{
	event_category = NULL;
	decision_category = NULL;
	log4c_fini();
}

static void log_line(log4c_category_t *category, int priority, const char *fmt,
		     va_list args)
{
	char text[LINE_MAX_BYTES];

	if (!category ||
	    !log4c_category_is_priority_enabled(category, priority))
		return;
	vsnprintf(text, sizeof(text), fmt, args);
	log4c_category_log(category, priority, "%s", text);
}

void zr_log(enum zr_log_level level, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	log_line(event_category, log4c_priority(level), fmt, args);
	va_end(args);
}

void zr_log_decision(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	log_line(decision_category, LOG4C_PRIORITY_INFO, fmt, args);
	va_end(args);
}
