#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fakes/raw_tcp.h"
#include "requests/requests.h"

#define TEXT_MAX 4096

/* Chooses free ports; another process could take one before it is used. */
static void choose_addresses(struct bench_cell *cell)
{
	int fds[BENCH_WORKERS + 1];
	int i;

	for (i = 0; i < BENCH_WORKERS; i++)
		fds[i] = raw_listen(cell->workers[i], ZR_ADDRESS_MAX);
	fds[i] = raw_listen(cell->entry, ZR_ADDRESS_MAX);
	for (i = 0; i <= BENCH_WORKERS; i++)
		close(fds[i]);
}

static pid_t start_process(const struct bench_cell *cell,
			   const struct bench_setup *setup,
			   void (*run)(const struct bench_cell *cell,
				       const struct bench_setup *setup))
{
	pid_t pid = fork();

	if (pid < 0)
		abort();
	if (!pid) {
		run(cell, setup);
		_exit(0);
	}
	return pid;
}

/* Gets a path and stores the whole response, with its headers. */
static bool http_get(char *out, size_t size, const char *address,
		     const char *path)
{
	char request[TEXT_MAX];
	uv_loop_t loop;
	bool ok;
	int fd = raw_connect(address);

	uv_loop_init(&loop);
	snprintf(request, sizeof(request),
		 "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
		 path);
	raw_send(fd, request, strlen(request));
	ok = raw_read(&loop, fd, out, size, NULL);
	uv_loop_close(&loop);
	close(fd);
	return ok;
}

/* Returns the number after @name, such as "served=", or -1. */
static long long parse_counter(const char *response, const char *name)
{
	const char *at = strstr(response, name);

	return at ? atoll(at + strlen(name)) : -1;
}

void bench_counts_read(struct bench_counts *out, const struct bench_cell *cell)
{
	char response[TEXT_MAX];

	memset(out, 0, sizeof(*out));
	if (http_get(response, sizeof(response), cell->workers[0], "/counts")) {
		out->served = parse_counter(response, "served=");
		out->max_in_progress = parse_counter(response, "most=");
	}
	if (http_get(response, sizeof(response), cell->entry, "/counts")) {
		out->cpu_us = parse_counter(response, "cpu_us=");
		out->max_resident_kb = parse_counter(response, "memory_kb=");
	}
}

static void wait_listening(const char *address)
{
	struct sockaddr_storage at;
	int tries;
	int fd;

	zr_address_parse(&at, address);
	for (tries = 0; tries < 1000; tries++) {
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (!connect(fd, (struct sockaddr *)&at,
			     sizeof(struct sockaddr_in))) {
			close(fd);
			return;
		}
		close(fd);
		usleep(5000);
	}
	abort();
}

void bench_cell_start(struct bench_cell *cell, const struct bench_setup *setup)
{
	choose_addresses(cell);
	fflush(NULL);
	cell->pids[0] = start_process(cell, setup, bench_workers_run);
	wait_listening(cell->workers[BENCH_WORKERS - 1]);
	cell->pids[1] = start_process(cell, setup, bench_entry_run);
	wait_listening(cell->entry);
}

void bench_cell_stop(struct bench_cell *cell)
{
	int i;

	for (i = 0; i < 2; i++) {
		kill(cell->pids[i], SIGKILL);
		waitpid(cell->pids[i], NULL, 0);
	}
}
