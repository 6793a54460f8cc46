/*
 * Short requests through an entry daemon's router against the same workers
 * called directly, under overload, and with a worker that is not well. Figures
 * are printed; --check judges counted outcomes only.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fakes/raw_tcp.h"
#include "requests/requests.h"
#include "route/worker_client.h"

#define SERVE_MS 10
#define CAPACITY (BENCH_WORKERS * BENCH_SLOTS * 1000 / SERVE_MS)
#define TIMEOUT_MS 100
#define FAULT_TIMEOUT_MS 1000
#define ROUNDS 3
#define SECONDS 3.0
#define CHECK_SECONDS 1.0
/* The budget of retries: a tenth of the first tries, and what is saved at
 * start. */
#define RETRIES_MAX(offered) ((offered) / 10 + 5)
#define FLOOD 64
#define TEXT_MAX 4096
/*
 * With protection: 5 failures in a row, what is in flight by then, and trials.
 * Ejection after 5, at most 8 slots more, one trial for each second or so.
 */
#define FAILED_MAX (5 + BENCH_SLOTS + 5)

static bool check;
static int failures;

static double seconds(void)
{
	return check ? CHECK_SECONDS : SECONDS;
}

static void judge(bool ok, const char *what)
{
	if (ok)
		return;
	printf("CHECK FAILED: %s\n", what);
	failures++;
}

static void judge_all(const struct bench_result *result,
		      const struct bench_counts *counts)
{
	unsigned int ends = result->good + result->late + result->failed +
			    result->refused + result->unknown + result->broken;

	judge(!result->wrong, "an answer went to another request");
	judge(!result->broken, "a request ended without a typed answer");
	judge(ends == result->offered, "a request has not one end");
	judge(counts->most <= BENCH_SLOTS, "a worker had more than its slots");
}

static void run(struct bench_result *result, struct bench_counts *counts,
		const struct bench_setup *setup, const struct bench_load *load)
{
	struct bench_cell cell;

	bench_cell_start(&cell, setup);
	bench_load_run(result, &cell, load);
	bench_counts_read(counts, &cell);
	bench_cell_stop(&cell);
	if (!load->direct)
		judge_all(result, counts);
}

static void bench_latency(void)
{
	const struct bench_setup setup = {SERVE_MS, BENCH_WELL, true, true};
	struct bench_load load = {
		.per_second = CAPACITY / 2,
		.timeout_ms = TIMEOUT_MS,
		.seconds = seconds(),
	};
	struct bench_result direct;
	struct bench_result routed;
	struct bench_counts counts;

	load.direct = true;
	run(&direct, &counts, &setup, &load);
	load.direct = false;
	run(&routed, &counts, &setup, &load);
	printf("latency at half load (%u/s): direct p50 %.2f ms p99 %.2f ms; "
	       "routed p50 %.2f ms p99 %.2f ms; added p50 %.2f ms p99 %.2f "
	       "ms\n",
	       CAPACITY / 2, direct.p50_ms, direct.p99_ms, routed.p50_ms,
	       routed.p99_ms, routed.p50_ms - direct.p50_ms,
	       routed.p99_ms - direct.p99_ms);
}

static void bench_cost(void)
{
	const struct bench_setup setup = {0, BENCH_WELL, true, true};
	const struct bench_load load = {
		.in_flight = FLOOD,
		.timeout_ms = TIMEOUT_MS,
		.seconds = seconds(),
	};
	struct bench_result result;
	struct bench_counts counts;

	run(&result, &counts, &setup, &load);
	printf("cost: %.0f requests a second, %.1f us of processor a request, "
	       "%.0f requests a second per core, %lld KB resident\n",
	       result.offered / result.seconds,
	       (double)counts.cpu_us / result.offered,
	       1e6 * result.offered / (double)counts.cpu_us, counts.memory_kb);
}

static void on_done(void *ctx, int error, const struct zr_peer_answer *answer)
{
	(void)ctx;
	(void)error;
	(void)answer;
}

/* Bytes on the wire towards a worker, for a body of 7 bytes. */
static void bench_bytes(void)
{
	const struct zr_peer_call call = {
		.service = BENCH_SERVICE,
		.id = "sapporo-1-1234567.1",
		.body = "face 42",
		.length = 7,
		.timeout_ms = TIMEOUT_MS,
	};
	char address[ZR_ADDRESS_MAX];
	char text[TEXT_MAX];
	struct zr_peer peer;
	uv_loop_t loop;
	int listener = raw_listen(address, sizeof(address));
	int fd;

	uv_loop_init(&loop);
	zr_http_peer_new(&peer, &loop, address);
	peer.ops->limit(peer.impl, 1);
	peer.ops->call(peer.impl, &call, on_done, NULL);
	fd = raw_accept(&loop, listener);
	raw_read(&loop, fd, text, sizeof(text), call.body);
	printf("bytes: %zu to a worker for a body of %zu\n", strlen(text),
	       call.length);
	peer.ops->free(peer.impl);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	close(fd);
	close(listener);
}

static void bench_overload(void)
{
	static const unsigned int halves[] = {1, 2, 4, 6};
	struct bench_setup setup = {SERVE_MS, BENCH_WELL, true, true};
	struct bench_load load = {.timeout_ms = TIMEOUT_MS};
	struct bench_result result;
	struct bench_counts counts;
	int admission;
	size_t i;

	load.seconds = seconds();
	for (admission = 1; admission >= 0; admission--) {
		setup.admission = admission;
		for (i = 0; i < sizeof(halves) / sizeof(halves[0]); i++) {
			load.per_second = CAPACITY * halves[i] / 2;
			run(&result, &counts, &setup, &load);
			printf("load %.1f admission %s: goodput %.0f/s of %u/s "
			       "offered; late %u refused %u unknown %u; p99 "
			       "%.1f ms\n",
			       halves[i] / 2.0, admission ? "on" : "off",
			       result.good / result.seconds, load.per_second,
			       result.late, result.refused, result.unknown,
			       result.p99_ms);
			judge(counts.served <=
				      (long long)result.good + result.late +
					      result.unknown + result.failed +
					      RETRIES_MAX(result.offered),
			      "a refused request has run");
		}
	}
}

/* Half of the capacity right after three times of it. */
static void bench_recovery(void)
{
	const struct bench_setup setup = {SERVE_MS, BENCH_WELL, true, true};
	struct bench_load load = {
		.per_second = 3 * CAPACITY,
		.timeout_ms = TIMEOUT_MS,
		.seconds = CHECK_SECONDS,
	};
	struct bench_result flood;
	struct bench_result after;
	struct bench_counts counts;
	struct bench_cell cell;

	bench_cell_start(&cell, &setup);
	bench_load_run(&flood, &cell, &load);
	load.per_second = CAPACITY / 2;
	bench_load_run(&after, &cell, &load);
	bench_counts_read(&counts, &cell);
	bench_cell_stop(&cell);
	judge_all(&after, &counts);
	printf("after a load of 3.0: goodput %.0f/s of %u/s offered; late %u "
	       "refused %u unknown %u; p99 %.1f ms\n",
	       after.good / after.seconds, load.per_second, after.late,
	       after.refused, after.unknown, after.p99_ms);
}

static void bench_faults(void)
{
	static const char *const names[] = {"well", "silent", "slow",
					    "failing"};
	struct bench_setup setup = {SERVE_MS, BENCH_WELL, true, true};
	const struct bench_load load = {
		.per_second = CAPACITY / 4,
		.timeout_ms = FAULT_TIMEOUT_MS,
		.seconds = seconds(),
	};
	struct bench_result result;
	struct bench_counts counts;
	int fault;
	int protection;

	for (fault = BENCH_WELL; fault <= BENCH_FAILING; fault++) {
		for (protection = 1; protection >= 0; protection--) {
			setup.fault = (enum bench_fault)fault;
			setup.protection = protection;
			run(&result, &counts, &setup, &load);
			printf("1 of %d workers %s, protection %s: p50 %.1f "
			       "ms p99 %.1f ms; good %u of %u, failed %u, "
			       "unknown %u, refused %u\n",
			       BENCH_WORKERS, names[fault],
			       protection ? "on" : "off", result.p50_ms,
			       result.p99_ms, result.good, result.offered,
			       result.failed, result.unknown, result.refused);
			if (protection)
				judge(result.failed <= FAILED_MAX,
				      "a failing worker was not ejected");
		}
	}
}

int main(int argc, char **argv)
{
	int round;

	check = argc > 1 && !strcmp(argv[1], "--check");
	signal(SIGPIPE, SIG_IGN);
	for (round = 0; round < (check ? 1 : ROUNDS); round++)
		bench_latency();
	bench_cost();
	bench_bytes();
	bench_overload();
	bench_recovery();
	bench_faults();
	return failures ? 1 : 0;
}
