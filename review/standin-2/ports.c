/*
 * Prints the first of COUNT ports in a row that are free on loopback, below
 * those that the system assigns to outgoing connections.
 *
 * usage: ports COUNT
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define FIRST 16000
#define SPAN 9000

static int is_free(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int result;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	result = fd >= 0 &&
		 !bind(fd, (struct sockaddr *)&address, sizeof(address));
	if (fd >= 0)
		close(fd);
	return result;
}

int main(int argc, char **argv)
{
	int count = argc > 1 ? (int)strtol(argv[1], NULL, 10) : 1;
	int tries;
	int i;

	for (tries = 0; tries < SPAN; tries++) {
		int base = FIRST + (int)(getpid() * 97L + tries * 131L) %
					   (SPAN - count);

		for (i = 0; i < count && is_free(base + i); i++)
			;
		if (i == count) {
			printf("%d\n", base);
			return 0;
		}
	}
	return 1;
}
