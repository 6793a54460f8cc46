#ifndef RNG_H
#define RNG_H

#include <math.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Seeded random numbers (splitmix64), the same on every host
 */

struct rng {
	uint64_t state;
};

static inline uint64_t rng_next(struct rng *rng)
{
	uint64_t z = rng->state += 0x9e3779b97f4a7c15u;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

/** rng_below() - a number from 0 to @bound - 1; 0 if @bound is 0 */
static inline uint32_t rng_below(struct rng *rng, uint32_t bound)
{
	return bound ? (uint32_t)(rng_next(rng) % bound) : 0;
}

/** rng_chance() - true with a probability of @percent */
static inline bool rng_chance(struct rng *rng, uint32_t percent)
{
	return rng_below(rng, 100) < percent;
}

/** rng_unit() - a number from 0 to 1, excluding 1 */
static inline double rng_unit(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) / 9007199254740992.0;
}

/** rng_exponential() - an exponentially distributed number of mean @mean */
static inline double rng_exponential(struct rng *rng, double mean)
{
	return -mean * log(1.0 - rng_unit(rng));
}

#endif
