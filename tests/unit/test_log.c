#include <check.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "zinniarack/log.h"

#define LINES 20000
#define CHUNK 65536

static int reader;

static void set_up(void)
{
	int ends[2];

	ck_assert_int_eq(pipe(ends), 0);
	reader = ends[0];
	ck_assert_int_eq(fcntl(reader, F_SETFL, O_NONBLOCK), 0);
	ck_assert_int_ge(dup2(ends[1], STDOUT_FILENO), 0);
	close(ends[1]);
	zr_log_use_stdout();
	ck_assert_int_eq(zr_log_init("test", ZR_LOG_INFO, ZR_LOG_TEXT), 0);
}

static size_t read_all(char *out, size_t size)
{
	size_t used = 0;
	ssize_t got;

	while (used < size && (got = read(reader, out + used, size - used)) > 0)
		used += (size_t)got;
	return used;
}

/* Nobody reads: the process goes on, and says later what was dropped. */
START_TEST(test_full_pipe)
{
	static char text[8 * CHUNK];
	size_t length;
	int i;

	for (i = 0; i < LINES; i++)
		zr_log(ZR_LOG_INFO, "line number=%d", i);
	length = read_all(text, sizeof(text) - 1);
	ck_assert_int_gt(length, 0);
	ck_assert_int_eq(text[length - 1], '\n');
	/* The next second has room again. */
	sleep(1);
	zr_log(ZR_LOG_INFO, "line after");
	length = read_all(text, sizeof(text) - 1);
	text[length] = '\0';
	ck_assert_ptr_nonnull(strstr(text, "log.dropped lines="));
	ck_assert_ptr_nonnull(strstr(text, "line after"));
}
END_TEST

START_TEST(test_level_is_changed)
{
	static char text[CHUNK];
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
	tcase_add_test(tcase, test_full_pipe);
	tcase_add_test(tcase, test_level_is_changed);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? 1 : 0;
}
