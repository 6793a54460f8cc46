#include <argp.h>
#include <stdio.h>

#include "domain/journal.h"
#include "recovery/recovery.h"

/*
 * What keeping state costs, and what a failure costs: counted calls of the
 * store and virtual time. One failure domain is run; the whole system is four
 * of them. With --check it is brief and judges the stated aims only.
 */

#define WRITES_MAX 100.0
#define READS_MAX 500.0
#define FIRST_PLACED_MAX_MS 3000
#define VALUE_BYTES_MAX 1000000ul
#define SYSTEM_STARTS_PER_S 120
#define KILL_POINTS 100
#define FIRST_SEED 1

#define TARGET_RUNNING 5000
#define TARGET_WAITING 20000

static unsigned int failures;

static void judge(bool check, bool holds, const char *aim)
{
	if (!check)
		return;
	printf("%s: %s\n", holds ? "holds" : "FAILS", aim);
	failures += !holds;
}

static void print_rates(const char *what, const struct rates *rates)
{
	int i;

	printf("%s: %.1f writes/s, %.1f reads/s, %.0f bytes written/s (", what,
	       rates->writes, rates->reads, rates->bytes_written);
	for (i = 0; i < ZR_STORE_PURPOSE_COUNT; i++)
		printf("%s%s %.1f", i ? ", " : "", zr_store_purpose_name(i),
		       rates->by_purpose[i]);
	printf(")\n");
}

static void report_load(const char *what, unsigned int per_s,
			unsigned int seconds)
{
	struct load load = run_load(per_s, seconds);

	print_rates(what, &load.rates);
	if (per_s)
		printf("  accepted after: median %u ms, 99th %u ms; one write "
		       "per transition: %.1f writes/s\n",
		       load.median_ms, load.p99_ms, load.naive_writes);
}

static void report_takeover(bool check, unsigned int groups,
			    unsigned int seconds)
{
	struct takeover at =
		run_takeover(groups, TARGET_RUNNING, TARGET_WAITING, seconds);

	printf("%u groups, %u running, %u waiting: %.0f bytes a job kept, "
	       "largest value %lu bytes\n",
	       groups, at.running, at.waiting, at.bytes_per_job, at.largest);
	print_rates("  one domain", &at.rates);
	printf("  one write per transition: %.1f writes/s\n", at.naive_writes);
	printf("  owner killed 5 times: first placement after at most %ld ms, "
	       "%lu reads of %lu bytes each\n",
	       at.first_placed_ms, at.reads, at.bytes_read);
	if (groups != ZR_JOURNAL_SHARDS)
		return;
	judge(check, at.rates.writes * DOMAINS < WRITES_MAX,
	      "under 100 writes a second for four domains");
	judge(check, at.rates.reads * DOMAINS < READS_MAX,
	      "under 500 reads a second for four domains");
	judge(check,
	      at.first_placed_ms > 0 &&
		      at.first_placed_ms < FIRST_PLACED_MAX_MS,
	      "first placement under 3 s after the death");
	judge(check, at.largest < VALUE_BYTES_MAX, "values under a megabyte");
	judge(check, !at.violations, "nothing lost or doubled at a take-over");
}

static void report_kills(bool check)
{
	struct kills kills = run_kills(KILL_POINTS, FIRST_SEED);

	printf("%u kill points (seeds from %d): %u jobs accepted, %u not "
	       "ended, %u failed as their outcome is unknown, %u tasks begun "
	       "again, %u violations\n",
	       kills.points, FIRST_SEED, kills.accepted, kills.unfinished,
	       kills.failed, kills.reruns, kills.violations);
	judge(check, !kills.violations && !kills.unfinished,
	      "lost 0, doubled 0 after 100 kill points");
}

static void report_outage(bool check, unsigned int seconds)
{
	struct outage outage = run_outage(seconds);

	printf("store out for %u s: %u refused as not run, %u tasks ended "
	       "meanwhile; after: at most %lu writes in a second, %u jobs not "
	       "ended, %u violations\n",
	       seconds, outage.refused, outage.ended,
	       outage.most_writes_in_a_second, outage.unfinished,
	       outage.violations);
	judge(check,
	      (double)outage.most_writes_in_a_second * DOMAINS < WRITES_MAX * 2,
	      "no stampede: under twice the budget when the store returns");
	judge(check, !outage.violations && !outage.unfinished,
	      "nothing lost or doubled over an outage");
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
		{"check", 'c', NULL, 0, "Be brief and judge the aims", 0},
		{0},
	};
	static const struct argp argp = {
		options, parse, NULL, "Bench of state and recovery.",
		NULL,	 NULL,	NULL};
	bool check = false;

	argp_parse(&argp, argc, argv, 0, NULL, &check);
	if (!check) {
		report_load("one domain at rest", 0, 60);
		report_load("one domain, its part of 120 starts/s",
			    SYSTEM_STARTS_PER_S / DOMAINS, 60);
		report_load("one domain, all 120 starts/s", SYSTEM_STARTS_PER_S,
			    60);
		report_takeover(check, 1, 60);
		report_takeover(check, 64, 60);
	}
	report_takeover(check, ZR_JOURNAL_SHARDS, check ? 20 : 60);
	report_kills(check);
	report_outage(check, check ? 60 : 600);
	return failures != 0;
}
