#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell/records.h"
#include "zinniarack/errors.h"

static zx_cell_task tasks[] = {
	{.attempt = 3, .worker = "w1", .checkpoint = ""},
	{.attempt = 1, .done = TRUE, .worker = "", .checkpoint = "c"},
};

static zx_cell_crashes crashes[] = {{0, 2, 1, 1}};

static zx_cell_stored_progress new_record(void)
{
	return (zx_cell_stored_progress){
		.progress = {.state = 1,
			     .client = "client",
			     .queue = "queue",
			     .tasks = {2, tasks}},
	};
}

static void check_progress(const zx_cell_progress *progress)
{
	ck_assert_uint_eq(progress->state, 1);
	ck_assert_str_eq(progress->client, "client");
	ck_assert_uint_eq(progress->tasks.tasks_len, 2);
	ck_assert_uint_eq(progress->tasks.tasks_val[0].attempt, 3);
	ck_assert(progress->tasks.tasks_val[1].done);
}

/*
 * Rolling update: a record without crashes is byte for byte one of the version
 * before, which is read as a record without crashes.
 */
START_TEST(test_no_crashes)
{
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded = {0};
	struct zr_cell_buffer bytes;
	struct zr_cell_buffer plain;

	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_int_eq(zr_cell_encode(&plain, (xdrproc_t)xdr_zx_cell_progress,
					&record.progress),
			 0);
	ck_assert_uint_eq(bytes.length, plain.length);
	ck_assert_mem_eq(bytes.data, plain.data, plain.length);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, plain.data, plain.length), 0);
	check_progress(&decoded.progress);
	ck_assert_uint_eq(decoded.crashes.tasks.tasks_len, 0);
	zr_cell_progress_clear(&decoded);
	free(bytes.data);
	free(plain.data);
}
END_TEST

/* Rolling update: the version before reads a record with crashes. */
START_TEST(test_crashes)
{
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded = {0};
	zx_cell_progress plain = {0};
	struct zr_cell_buffer bytes;

	record.crashes.tasks.tasks_len = 1;
	record.crashes.tasks.tasks_val = crashes;
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length), 0);
	check_progress(&decoded.progress);
	ck_assert_uint_eq(decoded.crashes.tasks.tasks_len, 1);
	ck_assert_uint_eq(decoded.crashes.tasks.tasks_val[0].crashes, 2);
	ck_assert_uint_eq(decoded.crashes.tasks.tasks_val[0].certain_crashes,
			  1);
	ck_assert_int_eq(zr_cell_decode(&plain, (xdrproc_t)xdr_zx_cell_progress,
					bytes.data, bytes.length),
			 0);
	check_progress(&plain);
	xdr_free((xdrproc_t)xdr_zx_cell_progress, &plain);
	zr_cell_progress_clear(&decoded);
	free(bytes.data);
}
END_TEST

/*
 * Rolling update: records of the versions before, which end after the progress
 * or after the crashes, are read as records without what follows.
 */
START_TEST(test_earlier_forms)
{
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded = {0};
	struct zr_cell_buffer bytes;
	size_t length;

	record.crashes.tasks.tasks_len = 1;
	record.crashes.tasks.tasks_val = crashes;
	length = xdr_sizeof((xdrproc_t)xdr_zx_cell_progress, &record.progress) +
		 xdr_sizeof((xdrproc_t)xdr_zx_cell_crash_list, &record.crashes);
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_int_eq(zr_cell_decode_progress(&decoded, bytes.data, length),
			 0);
	check_progress(&decoded.progress);
	ck_assert_uint_eq(decoded.crashes.tasks.tasks_len, 1);
	ck_assert_uint_eq(decoded.runs.incarnations.incarnations_len, 0);
	ck_assert_uint_eq(decoded.runs.possible_crashes.possible_crashes_len,
			  0);
	zr_cell_progress_clear(&decoded);
	free(bytes.data);
}
END_TEST

/*
 * Rolling update: the version before reads a record with use, whose size grows
 * by little: by 16 bytes if all active runs were placed at once, else by 4 more
 * for each run, and by 20 for a charge.
 */
/* An earlier version reads a job whose queue has advice, and the reverse. */
START_TEST(test_job_with_advice)
{
	zx_cell_stored_job record = {
		.job = {.queue = "q",
			.client = "c",
			.pool = "p",
			.payload = ""},
		.advice = {.advised = 1, .advise_ms = 12, .permit_ms = 1500},
	};
	zx_cell_stored_job decoded = {0};
	struct zr_cell_buffer bytes;
	zx_cell_job earlier = {0};

	ck_assert_int_eq(zr_cell_encode_job(&bytes, &record), 0);
	ck_assert_int_eq(zr_cell_decode_job(&decoded, bytes.data, bytes.length),
			 0);
	ck_assert(decoded.advice.advised);
	ck_assert_uint_eq(decoded.advice.advise_ms, 12);
	ck_assert_uint_eq(decoded.advice.permit_ms, 1500);
	xdr_free((xdrproc_t)xdr_zx_cell_stored_job, &decoded);
	ck_assert_int_eq(zr_cell_decode(&earlier, (xdrproc_t)xdr_zx_cell_job,
					bytes.data, bytes.length),
			 0);
	ck_assert_str_eq(earlier.queue, "q");
	xdr_free((xdrproc_t)xdr_zx_cell_job, &earlier);
	free(bytes.data);

	ck_assert_int_eq(
		zr_cell_encode(&bytes, (xdrproc_t)xdr_zx_cell_job, &record.job),
		0);
	memset(&decoded, 0, sizeof(decoded));
	ck_assert_int_eq(zr_cell_decode_job(&decoded, bytes.data, bytes.length),
			 0);
	ck_assert(!decoded.advice.advised);
	xdr_free((xdrproc_t)xdr_zx_cell_stored_job, &decoded);
	ck_assert_int_eq(
		zr_cell_decode_job(&decoded, bytes.data, bytes.length - 1),
		ZR_E_PROTOCOL);
	free(bytes.data);
}
END_TEST

START_TEST(test_use)
{
	zx_cell_use_charge charge = {7, 1234, 2};
	u_int after_ms[20] = {0, 5};
	u_int incarnations[20] = {0};
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded = {0};
	zx_cell_progress plain = {0};
	struct zr_cell_buffer without;
	struct zr_cell_buffer bytes;

	record.runs.incarnations.incarnations_len = 20;
	record.runs.incarnations.incarnations_val = incarnations;
	ck_assert_int_eq(zr_cell_encode_progress(&without, &record), 0);
	record.use.placed_ms = 1000;
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_uint_eq(bytes.length, without.length + 16);
	free(bytes.data);
	record.use.placed_after_ms.placed_after_ms_len = 20;
	record.use.placed_after_ms.placed_after_ms_val = after_ms;
	record.use.charges.charges_len = 1;
	record.use.charges.charges_val = &charge;
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_uint_eq(bytes.length, without.length + 16 + 80 + 20);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length), 0);
	check_progress(&decoded.progress);
	ck_assert_int_eq(decoded.use.charges.charges_val[0].core_ms, 1234);
	ck_assert_uint_eq(decoded.use.placed_after_ms.placed_after_ms_val[1],
			  5);
	ck_assert_int_eq(zr_cell_decode(&plain, (xdrproc_t)xdr_zx_cell_progress,
					bytes.data, bytes.length),
			 0);
	check_progress(&plain);
	xdr_free((xdrproc_t)xdr_zx_cell_progress, &plain);
	zr_cell_progress_clear(&decoded);
	free(bytes.data);
	free(without.data);
}
END_TEST

/*
 * A record that was cut off at any place is refused, and nothing leaks. Where
 * the records of the versions before end, it is one of these.
 */
START_TEST(test_cut_off)
{
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded;
	struct zr_cell_buffer bytes;
	size_t progress_end;
	size_t crashes_end;
	size_t length;

	record.crashes.tasks.tasks_len = 1;
	record.crashes.tasks.tasks_val = crashes;
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	progress_end =
		xdr_sizeof((xdrproc_t)xdr_zx_cell_progress, &record.progress);
	crashes_end =
		progress_end +
		xdr_sizeof((xdrproc_t)xdr_zx_cell_crash_list, &record.crashes);
	for (length = 0; length < bytes.length; length++) {
		if (length == progress_end || length == crashes_end)
			continue;
		memset(&decoded, 0, sizeof(decoded));
		ck_assert_int_eq(
			zr_cell_decode_progress(&decoded, bytes.data, length),
			ZR_E_PROTOCOL);
	}
	free(bytes.data);
}
END_TEST

#define GANG_TASKS 20
#define BATCH_TASKS 5

static size_t size_with_runs(u_int count, u_int run_count)
{
	static zx_cell_task running[GANG_TASKS];
	static u_int incarnations[GANG_TASKS] = {7};
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded = {0};
	struct zr_cell_buffer bytes;
	u_int i;

	for (i = 0; i < count; i++)
		running[i] = (zx_cell_task){.attempt = 1,
					    .worker = "i-18ca9fbafc",
					    .checkpoint = ""};
	record.progress.tasks.tasks_len = count;
	record.progress.tasks.tasks_val = running;
	record.runs.incarnations.incarnations_len = run_count;
	record.runs.incarnations.incarnations_val = incarnations;
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length), 0);
	ck_assert_uint_eq(decoded.runs.incarnations.incarnations_len,
			  run_count);
	if (run_count)
		ck_assert_uint_eq(decoded.runs.incarnations.incarnations_val[0],
				  7);
	zr_cell_progress_clear(&decoded);
	free(bytes.data);
	return bytes.length;
}

/*
 * Thin links: the incarnations take 4 bytes for each open run, and 12 bytes for
 * each job with one, so that a load after a takeover grows by an eighth at
 * most.
 */
START_TEST(test_size_with_runs)
{
	ck_assert_uint_eq(size_with_runs(GANG_TASKS, 0), 680);
	ck_assert_uint_eq(size_with_runs(GANG_TASKS, GANG_TASKS), 772);
	ck_assert_uint_eq(size_with_runs(BATCH_TASKS, 0), 200);
	ck_assert_uint_eq(size_with_runs(BATCH_TASKS, BATCH_TASKS), 232);
}
END_TEST

#define LARGE_WORKERS 4096
#define NAME_BYTES 63 /* the longest name and checkpoint */

/* What a job of the largest size refers to. */
struct large_job {
	char workers[LARGE_WORKERS][NAME_BYTES + 1];
	char checkpoints[ZR_CELL_JOB_TASKS_MAX][NAME_BYTES + 1];
	zx_cell_task tasks[ZR_CELL_JOB_TASKS_MAX];
	zx_cell_crashes crashes[ZR_CELL_JOB_TASKS_MAX];
	u_int numbers[ZR_CELL_JOB_TASKS_MAX];
};

/* All tasks have runs on as many workers as fit, and have met a crash. */
static zx_cell_stored_progress new_large_record(struct large_job *job)
{
	zx_cell_stored_progress record = new_record();
	int i;

	for (i = 0; i < LARGE_WORKERS; i++)
		snprintf(job->workers[i], sizeof(job->workers[i]), "%0*d",
			 NAME_BYTES, i);
	for (i = 0; i < ZR_CELL_JOB_TASKS_MAX; i++) {
		snprintf(job->checkpoints[i], sizeof(job->checkpoints[i]),
			 "%0*d", NAME_BYTES, i);
		job->tasks[i] = (zx_cell_task){
			.attempt = (u_int)i + 1,
			.failures = (u_int)i % 3,
			.worker = job->workers[i % LARGE_WORKERS],
			.checkpoint = job->checkpoints[i],
		};
		job->crashes[i] = (zx_cell_crashes){(u_int)i, 1, 1, 1};
		job->numbers[i] = (u_int)i;
	}
	record.progress.tasks.tasks_len = ZR_CELL_JOB_TASKS_MAX;
	record.progress.tasks.tasks_val = job->tasks;
	record.crashes.tasks.tasks_len = ZR_CELL_JOB_TASKS_MAX;
	record.crashes.tasks.tasks_val = job->crashes;
	record.runs.incarnations.incarnations_len = ZR_CELL_JOB_TASKS_MAX;
	record.runs.incarnations.incarnations_val = job->numbers;
	record.runs.possible_crashes.possible_crashes_len =
		ZR_CELL_JOB_TASKS_MAX;
	record.runs.possible_crashes.possible_crashes_val = job->numbers;
	record.use.placed_ms = 1000;
	record.use.placed_after_ms.placed_after_ms_len = ZR_CELL_JOB_TASKS_MAX;
	record.use.placed_after_ms.placed_after_ms_val = job->numbers;
	return record;
}

/*
 * Regression: the progress of a job with many tasks did not fit into a record.
 * That of the largest job must fit, with as many checkpoints as there is room.
 */
START_TEST(test_largest_job)
{
	struct large_job *job = calloc(1, sizeof(*job));
	zx_cell_stored_progress record = new_large_record(job);
	zx_cell_stored_progress decoded = {0};
	struct zr_cell_buffer bytes;
	int kept = 0;
	int left_out;
	int i;

	left_out = zr_cell_encode_progress(&bytes, &record);
	ck_assert_int_ge(left_out, 0);
	ck_assert_uint_le(bytes.length, ZX_CELL_VALUE_MAX);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length), 0);
	ck_assert_uint_eq(decoded.progress.tasks.tasks_len,
			  ZR_CELL_JOB_TASKS_MAX);
	for (i = 0; i < ZR_CELL_JOB_TASKS_MAX; i++) {
		const zx_cell_task *task = &decoded.progress.tasks.tasks_val[i];

		ck_assert_uint_eq(task->attempt, job->tasks[i].attempt);
		ck_assert_uint_eq(task->failures, job->tasks[i].failures);
		ck_assert_str_eq(task->worker, job->tasks[i].worker);
		if (!task->checkpoint[0])
			continue;
		ck_assert_str_eq(task->checkpoint, job->tasks[i].checkpoint);
		kept++;
	}
	ck_assert_int_eq(kept + left_out, ZR_CELL_JOB_TASKS_MAX);
	ck_assert_uint_eq(decoded.runs.incarnations.incarnations_val[7], 7);
	zr_cell_progress_clear(&decoded);
	free(bytes.data);
	free(job);
}
END_TEST

/*
 * Guards against checkpoints that are cut or lost in the record: the next owner
 * resumes from what it reads there. An earlier version reads the rest of it.
 */
START_TEST(test_long_checkpoints)
{
	static const size_t sizes[] = {63, 64, 65, 1000,
				       ZR_CELL_CHECKPOINT_MAX - 1};
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded = {0};
	zx_cell_progress earlier = {0};
	zx_cell_task list[5];
	struct zr_cell_buffer bytes;
	u_int i;

	for (i = 0; i < 5; i++) {
		list[i] = (zx_cell_task){.attempt = i + 1, .worker = ""};
		list[i].checkpoint = calloc(1, sizes[i] + 1);
		memset(list[i].checkpoint, 'a' + (int)i, sizes[i]);
	}
	record.progress.tasks.tasks_len = 5;
	record.progress.tasks.tasks_val = list;
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length), 0);
	for (i = 0; i < 5; i++)
		ck_assert(
			!strcmp(decoded.progress.tasks.tasks_val[i].checkpoint,
				list[i].checkpoint));
	ck_assert_int_eq(zr_cell_decode(&earlier,
					(xdrproc_t)xdr_zx_cell_progress,
					bytes.data, bytes.length),
			 0);
	ck_assert_str_eq(earlier.tasks.tasks_val[0].checkpoint,
			 list[0].checkpoint);
	ck_assert_str_eq(earlier.tasks.tasks_val[1].checkpoint, "");
	ck_assert_uint_eq(earlier.tasks.tasks_val[4].attempt, 5);
	xdr_free((xdrproc_t)xdr_zx_cell_progress, &earlier);
	zr_cell_progress_clear(&decoded);
	free(bytes.data);
	for (i = 0; i < 5; i++)
		free(list[i].checkpoint);
}
END_TEST

#define LONG_BYTES 1000

/* Of long checkpoints, a packed record has those that fit, each of them whole.
 */
START_TEST(test_long_checkpoints_packed)
{
	struct large_job *job = calloc(1, sizeof(*job));
	zx_cell_stored_progress record = new_large_record(job);
	zx_cell_stored_progress decoded = {0};
	char(*texts)[LONG_BYTES + 1] = calloc(3000, sizeof(*texts));
	struct zr_cell_buffer bytes;
	int left_out;
	int kept = 0;
	int i;

	for (i = 0; i < 3000; i++) {
		snprintf(texts[i], sizeof(texts[i]), "%0*d", LONG_BYTES, i);
		job->tasks[i].checkpoint = texts[i];
	}
	record.progress.tasks.tasks_len = 3000;
	left_out = zr_cell_encode_progress(&bytes, &record);
	ck_assert_int_gt(left_out, 0);
	ck_assert_uint_le(bytes.length, ZX_CELL_VALUE_MAX);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length), 0);
	for (i = 0; i < 3000; i++) {
		const zx_cell_task *task = &decoded.progress.tasks.tasks_val[i];

		if (!task->checkpoint[0])
			continue;
		ck_assert(!strcmp(task->checkpoint, texts[i]));
		kept++;
	}
	/* There was no room for one more. */
	ck_assert_uint_gt(bytes.length, ZX_CELL_VALUE_MAX - 2 * LONG_BYTES);
	ck_assert_int_eq(kept + left_out, 3000);
	zr_cell_progress_clear(&decoded);
	free(bytes.data);
	free(texts);
	free(job);
}
END_TEST

/* A long checkpoint of a task that there is not makes the record invalid. */
START_TEST(test_long_checkpoint_of_no_task)
{
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded = {0};
	zx_cell_long_checkpoint entry = {1000, "text"};
	struct zr_cell_buffer bytes;

	record.checkpoints.tasks.tasks_len = 1;
	record.checkpoints.tasks.tasks_val = &entry;
	ck_assert_int_eq(zr_cell_encode(&bytes,
					(xdrproc_t)xdr_zx_cell_stored_progress,
					&record),
			 0);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length),
		ZR_E_PROTOCOL);
	free(bytes.data);
}
END_TEST

/* A packed record keeps which tasks are done, and all checkpoints that fit. */
START_TEST(test_packed_tasks)
{
	struct large_job *job = calloc(1, sizeof(*job));
	zx_cell_stored_progress record = new_large_record(job);
	zx_cell_stored_progress decoded = {0};
	struct zr_cell_buffer bytes;

	record.progress.tasks.tasks_len = 3000;
	job->tasks[2999].done = TRUE;
	job->tasks[2999].worker = "";
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length), 0);
	ck_assert_uint_eq(decoded.packed.tasks.tasks_len, 3000);
	ck_assert(decoded.progress.tasks.tasks_val[2999].done);
	ck_assert_str_eq(decoded.progress.tasks.tasks_val[2999].worker, "");
	ck_assert_str_eq(decoded.progress.tasks.tasks_val[2999].checkpoint,
			 job->checkpoints[2999]);
	ck_assert(!decoded.progress.tasks.tasks_val[0].done);
	zr_cell_progress_clear(&decoded);
	free(bytes.data);
	free(job);
}
END_TEST

/*
 * LOST: a later owner must know how often a gang has failed, and in which run
 * last. An earlier version reads the record without that.
 */
START_TEST(test_gang_failures)
{
	zx_cell_gang_failures gang = {.step = 1, .runs = 2, .attempt = 3};
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded = {0};
	zx_cell_progress earlier = {0};
	struct zr_cell_buffer bytes;

	record.gangs.gangs.gangs_len = 1;
	record.gangs.gangs.gangs_val = &gang;
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length), 0);
	check_progress(&decoded.progress);
	ck_assert_uint_eq(decoded.gangs.gangs.gangs_len, 1);
	ck_assert_mem_eq(decoded.gangs.gangs.gangs_val, &gang, sizeof(gang));
	zr_cell_progress_clear(&decoded);
	ck_assert_int_eq(zr_cell_decode(&earlier,
					(xdrproc_t)xdr_zx_cell_progress,
					bytes.data, bytes.length),
			 0);
	check_progress(&earlier);
	xdr_free((xdrproc_t)xdr_zx_cell_progress, &earlier);
	free(bytes.data);
}
END_TEST

/* The record of the largest job has no room for the failures of all gangs. */
START_TEST(test_gang_failures_left_out)
{
	struct large_job *job = calloc(1, sizeof(*job));
	zx_cell_stored_progress record = new_large_record(job);
	zx_cell_stored_progress decoded = {0};
	struct zr_cell_buffer bytes;

	record.gangs.gangs.gangs_len = ZR_CELL_JOB_TASKS_MAX;
	record.gangs.gangs.gangs_val = calloc(
		ZR_CELL_JOB_TASKS_MAX, sizeof(*record.gangs.gangs.gangs_val));
	ck_assert_int_ge(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length), 0);
	ck_assert_uint_eq(decoded.gangs.gangs.gangs_len, 0);
	ck_assert_uint_eq(decoded.progress.tasks.tasks_val[4].failures,
			  job->tasks[4].failures);
	zr_cell_progress_clear(&decoded);
	free(record.gangs.gangs.gangs_val);
	free(bytes.data);
	free(job);
}
END_TEST

/* A worker that is not in the list of a packed record makes it invalid. */
START_TEST(test_packed_worker_missing)
{
	zx_cell_packed_task task = {1, 0, 1, ""};
	zx_cell_stored_progress record = new_record();
	zx_cell_stored_progress decoded = {0};
	struct zr_cell_buffer bytes;

	record.progress.tasks.tasks_len = 0;
	record.packed.tasks.tasks_len = 1;
	record.packed.tasks.tasks_val = &task;
	ck_assert_int_eq(zr_cell_encode_progress(&bytes, &record), 0);
	ck_assert_int_eq(
		zr_cell_decode_progress(&decoded, bytes.data, bytes.length),
		ZR_E_PROTOCOL);
	free(bytes.data);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cell_records");
	TCase *tcase = tcase_create("cell_records");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_add_test(tcase, test_no_crashes);
	tcase_add_test(tcase, test_crashes);
	tcase_add_test(tcase, test_job_with_advice);
	tcase_add_test(tcase, test_use);
	tcase_add_test(tcase, test_largest_job);
	tcase_add_test(tcase, test_packed_tasks);
	tcase_add_test(tcase, test_long_checkpoints);
	tcase_add_test(tcase, test_long_checkpoints_packed);
	tcase_add_test(tcase, test_long_checkpoint_of_no_task);
	tcase_add_test(tcase, test_packed_worker_missing);
	tcase_add_test(tcase, test_gang_failures);
	tcase_add_test(tcase, test_gang_failures_left_out);
	tcase_add_test(tcase, test_earlier_forms);
	tcase_add_test(tcase, test_cut_off);
	tcase_add_test(tcase, test_size_with_runs);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
