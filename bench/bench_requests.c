/*
 * Sends short requests through an entry daemon's router: compared with the same
 * workers called directly, under overload, and with a faulty worker. Times are
 * only printed; the bounds are on counted outcomes. With --check the loads are
 * shorter.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fakes/raw_tcp.h"
#include "requests/requests.h"
#include "route/worker_client.h"

/* Service time of a request on a worker without fault. */
#define SERVE_MS 10
#define CAPACITY_PER_S \
	(BENCH_WORKERS * BENCH_SLOTS_PER_WORKER * 1000 / SERVE_MS)
#define TIMEOUT_MS 100
#define FAULT_TIMEOUT_MS 1000
#define ROUNDS 3
#define LOAD_SECONDS 3.0
#define CHECK_LOAD_SECONDS 1.0
/* Retry budget: a tenth of the first attempts and an initial balance of 5. */
#define RETRY_BUDGET(offered) ((offered) / 10 + 5)
#define MAX_LOAD_IN_FLIGHT 64
#define TEXT_MAX 4096
/*
 * Requests that may fail on the faulty worker with outlier ejection: it is
 * ejected after 5 failures in a row, up to 8 more requests are in flight by
 * then, and about one trial per second follows, 5 in all.
 */
#define FAILURES_MAX (5 + BENCH_SLOTS_PER_WORKER + 5)

static bool check_mode;
static int failure_count;

static double load_seconds(void)
{
	return check_mode ? CHECK_LOAD_SECONDS : LOAD_SECONDS;
}

/* Counts a failure and prints @message if @ok is false. */
static void require(bool ok, const char *message)
{
	if (ok)
		return;
	printf("CHECK FAILED: %s\n", message);
	failure_count++;
}

/* Checks what holds for every load through the entry daemon. */
static void require_consistent(const struct bench_result *result,
			       const struct bench_counts *counts)
{
	unsigned int ended_count =
		result->in_time + result->late + result->failed +
		result->refused + result->outcome_unknown + result->no_response;

	require(!result->mismatched, "a response went to another request");
	require(!result->no_response, "a request ended without a response");
	require(ended_count == result->offered,
		"not every request ended exactly once");
	require(counts->max_in_progress <= BENCH_SLOTS_PER_WORKER,
		"a worker had more requests than slots");
}

static void run_load(struct bench_result *result, struct bench_counts *counts,
		     const struct bench_setup *setup,
		     const struct bench_load *load)
{
	struct bench_cell cell;

	bench_cell_start(&cell, setup);
	bench_load_run(result, &cell, load);
	bench_counts_read(counts, &cell);
	bench_cell_stop(&cell);
	if (!load->direct)
		require_consistent(result, counts);
}

static void bench_latency(void)
{
	const struct bench_setup setup = {SERVE_MS, BENCH_FAULT_NONE, true,
					  true};
	struct bench_load load = {
		.requests_per_s = CAPACITY_PER_S / 2,
		.timeout_ms = TIMEOUT_MS,
		.seconds = load_seconds(),
	};
	struct bench_result direct;
	struct bench_result routed;
	struct bench_counts counts;

	load.direct = true;
	run_load(&direct, &counts, &setup, &load);
	load.direct = false;
	run_load(&routed, &counts, &setup, &load);
	printf("latency at half load (%u/s): direct p50 %.2f ms p99 %.2f ms; "
	       "routed p50 %.2f ms p99 %.2f ms; added p50 %.2f ms p99 %.2f "
	       "ms\n",
	       CAPACITY_PER_S / 2, direct.p50_ms, direct.p99_ms, routed.p50_ms,
	       routed.p99_ms, routed.p50_ms - direct.p50_ms,
	       routed.p99_ms - direct.p99_ms);
}

static void bench_cost(void)
{
	const struct bench_setup setup = {0, BENCH_FAULT_NONE, true, true};
	const struct bench_load load = {
		.in_flight = MAX_LOAD_IN_FLIGHT,
		.timeout_ms = TIMEOUT_MS,
		.seconds = load_seconds(),
	};
	struct bench_result result;
	struct bench_counts counts;

	run_load(&result, &counts, &setup, &load);
	printf("cost: %.0f requests/s, %.1f us of processor time per request, "
	       "%.0f requests/s per core, %lld KB resident\n",
	       result.offered / result.seconds,
	       (double)counts.cpu_us / result.offered,
	       1e6 * result.offered / (double)counts.cpu_us,
	       counts.max_resident_kb);
}

static void ignore_response(void *ctx, int error,
			    const struct zr_worker_client_response *response)
{
	(void)ctx;
	(void)error;
	(void)response;
}

/* Counts the bytes sent to a worker for a request with a body of 7 bytes. */
static void bench_bytes(void)
{
	const struct zr_worker_client_call call = {
		.service = BENCH_SERVICE,
		.id = "sapporo-1-1234567.1",
		.body = "face 42",
		.length = 7,
		.timeout_ms = TIMEOUT_MS,
	};
	char address[ZR_ADDRESS_MAX];
	char text[TEXT_MAX];
	struct zr_worker_client client;
	uv_loop_t loop;
	int listener = raw_listen(address, sizeof(address));
	int fd;

	uv_loop_init(&loop);
	zr_http_worker_client_new(&client, &loop, address);
	client.ops->limit(client.impl, 1);
	client.ops->call(client.impl, &call, ignore_response, NULL);
	fd = raw_accept(&loop, listener);
	raw_read(&loop, fd, text, sizeof(text), call.body);
	printf("bytes sent to a worker: %zu for a body of %zu\n", strlen(text),
	       call.length);
	client.ops->free(client.impl);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	close(fd);
	close(listener);
}

static void bench_overload(void)
{
	/* Loads, in halves of the capacity. */
	static const unsigned int capacity_halves[] = {1, 2, 4, 6};
	struct bench_setup setup = {SERVE_MS, BENCH_FAULT_NONE, true, true};
	struct bench_load load = {.timeout_ms = TIMEOUT_MS};
	struct bench_result result;
	struct bench_counts counts;
	int admission_control;
	size_t i;

	load.seconds = load_seconds();
	for (admission_control = 1; admission_control >= 0;
	     admission_control--) {
		setup.admission_control = admission_control;
		for (i = 0;
		     i < sizeof(capacity_halves) / sizeof(capacity_halves[0]);
		     i++) {
			load.requests_per_s =
				CAPACITY_PER_S * capacity_halves[i] / 2;
			run_load(&result, &counts, &setup, &load);
			printf("load %.1f, admission control %s: "
			       "goodput %.0f/s of %u/s "
			       "offered; late %u refused %u unknown %u; p99 "
			       "%.1f ms\n",
			       capacity_halves[i] / 2.0,
			       admission_control ? "on" : "off",
			       result.in_time / result.seconds,
			       load.requests_per_s, result.late, result.refused,
			       result.outcome_unknown, result.p99_ms);
			require(counts.served <=
					(long long)result.in_time +
						result.late +
						result.outcome_unknown +
						result.failed +
						RETRY_BUDGET(result.offered),
				"a refused request was run");
		}
	}
}

/* Applies a load of half the capacity right after three times the capacity. */
static void bench_recovery(void)
{
	const struct bench_setup setup = {SERVE_MS, BENCH_FAULT_NONE, true,
					  true};
	struct bench_load load = {
		.requests_per_s = 3 * CAPACITY_PER_S,
		.timeout_ms = TIMEOUT_MS,
		.seconds = CHECK_LOAD_SECONDS,
	};
	struct bench_result overload;
	struct bench_result after;
	struct bench_counts counts;
	struct bench_cell cell;

	bench_cell_start(&cell, &setup);
	bench_load_run(&overload, &cell, &load);
	load.requests_per_s = CAPACITY_PER_S / 2;
	bench_load_run(&after, &cell, &load);
	bench_counts_read(&counts, &cell);
	bench_cell_stop(&cell);
	require_consistent(&after, &counts);
	printf("after a load of 3.0: goodput %.0f/s of %u/s offered; late %u "
	       "refused %u unknown %u; p99 %.1f ms\n",
	       after.in_time / after.seconds, load.requests_per_s, after.late,
	       after.refused, after.outcome_unknown, after.p99_ms);
}

static void bench_faults(void)
{
	static const char *const names[] = {"healthy", "unresponsive", "slow",
					    "failing"};
	struct bench_setup setup = {SERVE_MS, BENCH_FAULT_NONE, true, true};
	const struct bench_load load = {
		.requests_per_s = CAPACITY_PER_S / 4,
		.timeout_ms = FAULT_TIMEOUT_MS,
		.seconds = load_seconds(),
	};
	struct bench_result result;
	struct bench_counts counts;
	int fault;
	int outlier_ejection;

	for (fault = BENCH_FAULT_NONE; fault <= BENCH_FAULT_ERRORS; fault++) {
		for (outlier_ejection = 1; outlier_ejection >= 0;
		     outlier_ejection--) {
			setup.fault = (enum bench_fault)fault;
			setup.outlier_ejection = outlier_ejection;
			run_load(&result, &counts, &setup, &load);
			printf("1 of %d workers %s, outlier ejection %s: "
			       "p50 %.1f ms p99 %.1f ms; "
			       "%u of %u in time, failed %u, "
			       "unknown %u, refused %u\n",
			       BENCH_WORKERS, names[fault],
			       outlier_ejection ? "on" : "off", result.p50_ms,
			       result.p99_ms, result.in_time, result.offered,
			       result.failed, result.outcome_unknown,
			       result.refused);
			if (outlier_ejection)
				require(result.failed <= FAILURES_MAX,
					"a faulty worker was not ejected");
		}
	}
}

int main(int argc, char **argv)
{
	int round;

	check_mode = argc > 1 && !strcmp(argv[1], "--check");
	signal(SIGPIPE, SIG_IGN);
	for (round = 0; round < (check_mode ? 1 : ROUNDS); round++)
		bench_latency();
	bench_cost();
	bench_bytes();
	bench_overload();
	bench_recovery();
	bench_faults();
	return failure_count ? 1 : 0;
}
