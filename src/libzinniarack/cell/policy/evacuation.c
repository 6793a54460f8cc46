#include "cell/policy/evacuation.h"

#include <string.h>
#include <xxhash.h>

int64_t zr_evacuation_return_ms(const char *worker, int64_t window_ms)
{
	uint64_t hash = XXH64(worker, strlen(worker), 0);

	return window_ms > 0 ? (int64_t)(hash % (uint64_t)window_ms) : 0;
}
