#include "zinniarack/clock.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

static struct timespec read_monotonic(void *ctx)
{
	struct timespec t;

	(void)ctx;
	clock_gettime(CLOCK_MONOTONIC, &t);
	return t;
}

static struct timespec read_realtime(void *ctx)
{
	struct timespec t;

	(void)ctx;
	clock_gettime(CLOCK_REALTIME, &t);
	return t;
}

static struct timespec read_boottime(void *ctx)
{
	struct timespec t;

	(void)ctx;
	clock_gettime(CLOCK_BOOTTIME, &t);
	return t;
}

const struct zr_clock *zr_clock_boottime(void)
{
	static const struct zr_clock boottime_clock = {
		.monotonic = read_boottime,
		.realtime = read_realtime,
	};

	return &boottime_clock;
}

const struct zr_clock *zr_clock_system(void)
{
	static const struct zr_clock system_clock = {
		.monotonic = read_monotonic,
		.realtime = read_realtime,
	};

	return &system_clock;
}

struct timespec zr_clock_now(const struct zr_clock *clock)
{
	return clock->monotonic(clock->ctx);
}

struct timespec zr_time_add_ms(struct timespec t, int64_t ms)
{
	t.tv_sec += ms / MS_PER_S;
	t.tv_nsec += ms % MS_PER_S * NS_PER_MS;
	if (t.tv_nsec >= NS_PER_S) {
		t.tv_nsec -= NS_PER_S;
		t.tv_sec++;
	} else if (t.tv_nsec < 0) {
		t.tv_nsec += NS_PER_S;
		t.tv_sec--;
	}
	return t;
}

int64_t zr_time_diff_ms(struct timespec a, struct timespec b)
{
	int64_t ns = (int64_t)(a.tv_sec - b.tv_sec) * NS_PER_S;

	ns += a.tv_nsec - b.tv_nsec;
	return ns / NS_PER_MS;
}

int zr_time_cmp(struct timespec a, struct timespec b)
{
	if (a.tv_sec != b.tv_sec)
		return a.tv_sec < b.tv_sec ? -1 : 1;
	if (a.tv_nsec != b.tv_nsec)
		return a.tv_nsec < b.tv_nsec ? -1 : 1;
	return 0;
}

int64_t zr_time_to_ms(struct timespec t)
{
	return (int64_t)t.tv_sec * MS_PER_S + t.tv_nsec / NS_PER_MS;
}

struct timespec zr_time_from_ms(int64_t ms)
{
	struct timespec origin = {0, 0};

	return zr_time_add_ms(origin, ms);
}
