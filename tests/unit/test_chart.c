#include <check.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "zinniarack/charts.h"
#include "zinniarack/errors.h"
#include "zinniarack/job.h"

static const char *const states[] = {"red", "green", "off", NULL};
static const char *const events[] = {"go", "halt", "fail", NULL};
static const struct zr_chart_names names = {"lamp", states, events, NULL};

#define CHART_START                            \
	"chart: lamp\ninitial: red\nstates:\n" \
	"  - {name: red, on: [{event: go, to: green}]}\n"

/* A chart in which the time in each state is bounded. */
static const char *const bounds[] = {"none", "lease", NULL};
static const struct zr_chart_names bounded_names = {"lamp", states, events,
						    bounds};

static char folder[] = "/tmp/zr_chart_XXXXXX";
static char path[PATH_MAX];

static void write_chart(const char *text)
{
	FILE *file = fopen(path, "w");

	ck_assert_ptr_nonnull(file);
	fputs(text, file);
	fclose(file);
}

static void check_refused(const char *text, const char *message)
{
	struct zr_chart *chart;

	write_chart(text);
	ck_assert_int_eq(zr_chart_load(&chart, folder, &names), ZR_E_INVALID);
	ck_assert_msg(strstr(zr_error_last(), message) != NULL,
		      "%s: not in: %s", message, zr_error_last());
}

START_TEST(test_chart_gives_transitions)
{
	struct zr_chart *chart;
	int state;

	write_chart(CHART_START
		    "  - {name: green, on: [{event: halt, to: red}, "
		    "{event: fail, to: off}]}\n"
		    "  - {name: off, final: true}\n");
	ck_assert_int_eq(zr_chart_load(&chart, folder, &names), 0);
	state = zr_chart_initial(chart);
	ck_assert_int_eq(state, 0);
	ck_assert_int_eq(zr_chart_next(&state, chart, state, 0), 0);
	ck_assert_int_eq(state, 1);
	ck_assert_int_eq(zr_chart_next(&state, chart, state, 0), ZR_E_STATE);
	ck_assert_str_eq(
		zr_error_last(),
		"chart 'lamp': no transition for event 'go' in state 'green'");
	ck_assert_int_eq(state, 1);
	ck_assert_int_eq(zr_chart_next(&state, chart, state, 2), 0);
	ck_assert(zr_chart_is_final(chart, state));
	zr_chart_free(chart);
}
END_TEST

#define BOUNDED_END                                                     \
	"  - {name: green, bound: lease, on: [{event: halt, to: red}, " \
	"{event: fail, to: off}]}\n  - {name: off, final: true}\n"

/* A state whose end depends on an answer alone would last for ever. */
START_TEST(test_states_without_a_bound_are_refused)
{
	struct zr_chart *chart;

	ck_assert_int_eq(
		zr_chart_parse(&chart, CHART_START BOUNDED_END, &bounded_names),
		ZR_E_INVALID);
	ck_assert_ptr_nonnull(strstr(zr_error_last(), "no bound of state"));
	ck_assert_int_eq(
		zr_chart_parse(&chart,
			       "chart: lamp\ninitial: red\nstates:\n"
			       "  - {name: red, bound: year, on: "
			       "[{event: go, to: green}]}\n" BOUNDED_END,
			       &bounded_names),
		ZR_E_INVALID);
	ck_assert_ptr_nonnull(strstr(zr_error_last(), "unknown bound 'year'"));
	ck_assert_int_eq(
		zr_chart_parse(&chart,
			       "chart: lamp\ninitial: red\nstates:\n"
			       "  - {name: red, bound: none, on: "
			       "[{event: go, to: green}]}\n" BOUNDED_END,
			       &bounded_names),
		0);
	ck_assert_int_eq(zr_chart_bound(chart, 0), 0);
	ck_assert_int_eq(zr_chart_bound(chart, 1), 1);
	zr_chart_free(chart);
}
END_TEST

START_TEST(test_invalid_charts_are_refused)
{
	check_refused(CHART_START
		      "  - {name: green, on: [{event: halt, to: blue}]}\n",
		      "unknown target state 'blue'");
	check_refused(CHART_START
		      "  - {name: green, on: [{event: hop, to: red}]}\n",
		      "unknown event 'hop'");
	check_refused(CHART_START "  - {name: blue, final: true}\n",
		      "unknown state 'blue'");
	check_refused(CHART_START
		      "  - {name: green, on: [{event: halt, to: red}, "
		      "{event: halt, to: off}]}\n",
		      "two transitions for event 'halt'");
	check_refused(CHART_START
		      "  - {name: green, on: [{event: halt, to: red}, "
		      "{event: fail, to: green}]}\n"
		      "  - {name: off, final: true}\n",
		      "unreachable state 'off'");
	check_refused(CHART_START
		      "  - {name: green, on: [{event: halt, to: red}]}\n",
		      "no definition of state 'off'");
	check_refused(CHART_START "  - {name: green}\n",
		      "no transition out of state 'green'");
	check_refused(CHART_START "  - {name: green, final: true, "
				  "on: [{event: halt, to: red}]}\n",
		      "transition out of final state 'green'");
	check_refused(CHART_START
		      "  - {name: green, on: [{event: halt, to: off}]}\n"
		      "  - {name: off, final: true}\n",
		      "no transition for event 'fail'");
	check_refused("chart: lamp\ninitial: red\n", "states");
	check_refused("chart: door\ninitial: red\nstates:\n  - {name: red}\n",
		      "the file defines chart 'door'");
}
END_TEST

START_TEST(test_shipped_charts_load)
{
	struct zr_charts charts;
	int state;

	ck_assert_msg(zr_charts_load(&charts, ZR_SOURCE "/charts") == 0, "%s",
		      zr_error_last());
	ck_assert(zr_chart_is_final(charts.job, ZR_JOB_SUCCEEDED));
	ck_assert_int_eq(zr_chart_next(&state, charts.job, ZR_JOB_SUCCEEDED,
				       ZR_JOB_EVENT_PLACED),
			 ZR_E_STATE);
	zr_charts_clear(&charts);
}
END_TEST

START_TEST(test_invalid_event_leaves_the_state)
{
	int state = ZR_OWNERSHIP_STANDBY;

	ck_assert_int_eq(zr_chart_step(&state, zr_charts()->ownership,
				       ZR_OWNERSHIP_EVENT_WON),
			 ZR_E_STATE);
	ck_assert_int_eq(state, ZR_OWNERSHIP_STANDBY);
	ck_assert_int_eq(zr_chart_step(&state, zr_charts()->ownership,
				       ZR_OWNERSHIP_EVENT_VACANT),
			 0);
	ck_assert_int_eq(state, ZR_OWNERSHIP_CAMPAIGNING);
}
END_TEST

START_TEST(test_charts_of_a_folder_replace_the_built_in_ones)
{
	const struct zr_chart *built_in = zr_charts()->job;

	ck_assert_int_eq(zr_charts_use(folder), ZR_E_NOT_FOUND);
	ck_assert_ptr_eq(zr_charts()->job, built_in);
	ck_assert_int_eq(zr_charts_use(ZR_SOURCE "/charts"), 0);
	ck_assert_ptr_ne(zr_charts()->job, built_in);
	ck_assert_int_eq(zr_chart_initial(zr_charts()->job), ZR_JOB_WAITING);
	zr_charts_clear((struct zr_charts *)zr_charts());
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("chart");
	TCase *tcase = tcase_create("chart");
	SRunner *runner = srunner_create(suite);
	int failed;

	if (!mkdtemp(folder))
		return 1;
	snprintf(path, sizeof(path), "%s/lamp.yaml", folder);
	tcase_add_test(tcase, test_chart_gives_transitions);
	tcase_add_test(tcase, test_states_without_a_bound_are_refused);
	tcase_add_test(tcase, test_invalid_charts_are_refused);
	tcase_add_test(tcase, test_shipped_charts_load);
	tcase_add_test(tcase, test_invalid_event_leaves_the_state);
	tcase_add_test(tcase,
		       test_charts_of_a_folder_replace_the_built_in_ones);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	unlink(path);
	rmdir(folder);
	return failed != 0;
}
