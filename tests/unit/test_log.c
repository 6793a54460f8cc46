#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "zinniarack/log.h"

#define LINES 20000
#define PIPE_BYTES 65536

static int read_fd;

static void set_up(void)
{
	int fds[2];

	ck_assert_int_eq(pipe(fds), 0);
	read_fd = fds[0];
	ck_assert_int_eq(fcntl(read_fd, F_SETFL, O_NONBLOCK), 0);
	ck_assert_int_ge(dup2(fds[1], STDOUT_FILENO), 0);
	close(fds[1]);
	zr_log_use_stdout();
	ck_assert_int_eq(zr_log_init("test", ZR_LOG_INFO, ZR_LOG_TEXT), 0);
}

static size_t read_all(char *out, size_t size)
{
	size_t used = 0;
	ssize_t got;

	while (used < size &&
	       (got = read(read_fd, out + used, size - used)) > 0)
		used += (size_t)got;
	return used;
}

/*
 * If the reader of the log stops reading, the process must not block. It drops
 * lines and later logs their number.
 */
START_TEST(test_full_pipe_drops_lines)
{
	static char text[8 * PIPE_BYTES];
	size_t length;
	int i;

	for (i = 0; i < LINES; i++)
		zr_log(ZR_LOG_INFO, "line number=%d", i);
	length = read_all(text, sizeof(text) - 1);
	ck_assert_int_gt(length, 0);
	ck_assert_int_eq(text[length - 1], '\n');
	/* The number of lines per second is limited; wait for the next one. */
	sleep(1);
	zr_log(ZR_LOG_INFO, "line after");
	length = read_all(text, sizeof(text) - 1);
	text[length] = '\0';
	ck_assert_ptr_nonnull(strstr(text, "log.dropped lines="));
	ck_assert_ptr_nonnull(strstr(text, "line after"));
}
END_TEST

START_TEST(test_level_can_be_changed)
{
	static char text[PIPE_BYTES];
	size_t length;

	zr_log_set_level(ZR_LOG_ERROR);
	zr_log(ZR_LOG_WARN, "hidden");
	zr_log_decision("hidden");
	zr_log_set_level(ZR_LOG_INFO);
	zr_log(ZR_LOG_INFO, "shown");
	length = read_all(text, sizeof(text) - 1);
	text[length] = '\0';
	ck_assert_ptr_null(strstr(text, "hidden"));
	ck_assert_ptr_nonnull(strstr(text, "shown"));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("log");
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_checked_fixture(tcase, set_up, NULL);
	tcase_add_test(tcase, test_full_pipe_drops_lines);
	tcase_add_test(tcase, test_level_can_be_changed);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
