#include <argp.h>
#include <stdio.h>

#include "domain/journal.h"
#include "recovery/recovery.h"

/*
 * Measures what persisting state and recovering from failures costs, in store
 * calls and virtual time. One failure domain is run; the whole system has four.
 * With --check the runs are fewer and shorter and the requirements are checked.
 */

#define WRITES_PER_S_MAX 100.0
#define READS_PER_S_MAX 500.0
#define FIRST_START_MAX_MS 3000
#define VALUE_BYTES_MAX 1000000ul
#define SYSTEM_STARTS_PER_S 120
#define KILL_POINTS 100
#define FIRST_SEED 1

#define TARGET_RUNNING 5000
#define TARGET_WAITING 20000

static unsigned int failure_count;

static void check_requirement(bool check, bool met, const char *requirement)
{
	if (!check)
		return;
	printf("%s %s\n", met ? "ok  " : "FAIL", requirement);
	failure_count += !met;
}

static void print_rates(const char *name, const struct rates *rates)
{
	int i;

	printf("%s: %.1f writes/s, %.1f reads/s, %.0f bytes written/s (", name,
	       rates->writes, rates->reads, rates->bytes_written);
	for (i = 0; i < ZR_STORE_PURPOSE_COUNT; i++)
		printf("%s%s %.1f", i ? ", " : "", zr_store_purpose_name(i),
		       rates->by_purpose[i]);
	printf(")\n");
}

static void report_load(const char *name, unsigned int per_s,
			unsigned int seconds)
{
	struct load load = run_load(per_s, seconds);

	print_rates(name, &load.rates);
	if (per_s)
		printf("  acceptance: median %u ms, 99th percentile %u ms; one "
		       "write per transition: %.1f writes/s\n",
		       load.accept_median_ms, load.accept_p99_ms,
		       load.unbatched_writes);
}

static void report_takeover(bool check, unsigned int shards,
			    unsigned int seconds)
{
	struct takeover takeover =
		run_takeover(shards, TARGET_RUNNING, TARGET_WAITING, seconds);

	printf("%u shards, %u running, %u waiting: %.0f bytes per job, "
	       "largest value %lu bytes\n",
	       shards, takeover.running, takeover.waiting,
	       takeover.bytes_per_job, takeover.largest_value);
	print_rates("  one domain", &takeover.rates);
	printf("  one write per transition: %.1f writes/s\n",
	       takeover.unbatched_writes);
	printf("  owner killed 5 times: first task start after at most %ld ms; "
	       "%lu reads, %lu bytes in the last takeover\n",
	       takeover.first_start_ms, takeover.reads, takeover.bytes_read);
	if (shards != ZR_JOURNAL_SHARDS)
		return;
	check_requirement(
		check, takeover.rates.writes * DOMAIN_COUNT < WRITES_PER_S_MAX,
		"fewer than 100 writes/s for four domains");
	check_requirement(check,
			  takeover.rates.reads * DOMAIN_COUNT < READS_PER_S_MAX,
			  "fewer than 500 reads/s for four domains");
	check_requirement(check,
			  takeover.first_start_ms > 0 &&
				  takeover.first_start_ms < FIRST_START_MAX_MS,
			  "first task start less than 3 s after the kill");
	check_requirement(check, takeover.largest_value < VALUE_BYTES_MAX,
			  "values smaller than 1 MB");
	check_requirement(check, !takeover.violations,
			  "no job lost, no task run twice in a takeover");
}

static void report_kills(bool check)
{
	struct kills kills = run_kills(KILL_POINTS, FIRST_SEED);

	printf("%u kill points (seeds from %d): %u jobs accepted, %u not "
	       "ended, %u failed with an unknown outcome, %u tasks started "
	       "again, %u violations\n",
	       kills.points, FIRST_SEED, kills.accepted, kills.unfinished,
	       kills.failed, kills.reruns, kills.violations);
	check_requirement(check, !kills.violations && !kills.unfinished,
			  "100 kill points: 0 lost, 0 run twice");
}

static void report_outage(bool check, unsigned int seconds)
{
	struct outage outage = run_outage(seconds);

	printf("store outage of %u s: %u jobs refused, %u tasks ended "
	       "meanwhile; afterwards: at most %lu writes in a second, "
	       "%u jobs not ended, %u violations\n",
	       seconds, outage.refused, outage.ended, outage.max_writes_per_s,
	       outage.unfinished, outage.violations);
	check_requirement(
		check,
		(double)outage.max_writes_per_s * DOMAIN_COUNT <
			WRITES_PER_S_MAX * 2,
		"fewer than 200 writes/s for four domains after an outage");
	check_requirement(check, !outage.violations && !outage.unfinished,
			  "no job lost, no task run twice in an outage");
}

static error_t parse(int key, char *value, struct argp_state *state)
{
	(void)value;
	if (key != 'c')
		return ARGP_ERR_UNKNOWN;
	*(bool *)state->input = true;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{"check", 'c', NULL, 0,
		 "Do fewer and shorter runs; check requirements", 0},
		{0},
	};
	static const struct argp argp = {
		options, parse,
		NULL,	 "Recovery bench: store calls and recovery time.",
		NULL,	 NULL,
		NULL};
	bool check = false;

	argp_parse(&argp, argc, argv, 0, NULL, &check);
	if (!check) {
		report_load("one idle domain", 0, 60);
		report_load("one domain, a quarter of 120 starts/s",
			    SYSTEM_STARTS_PER_S / DOMAIN_COUNT, 60);
		report_load("one domain, all 120 starts/s", SYSTEM_STARTS_PER_S,
			    60);
		report_takeover(check, 1, 60);
		report_takeover(check, 64, 60);
	}
	report_takeover(check, ZR_JOURNAL_SHARDS, check ? 20 : 60);
	report_kills(check);
	report_outage(check, check ? 60 : 600);
	return failure_count != 0;
}
