#include "zinniarack/host_list.h"

#include <stdlib.h>
#include <string.h>

struct zr_host *zr_hosts_copy(const struct zr_host *hosts, size_t count)
{
	struct zr_host *copy = calloc(count + 1, sizeof(*copy));

	if (!copy)
		abort();
	if (count)
		memcpy(copy, hosts, count * sizeof(*copy));
	return copy;
}
