#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "capacity/capacity.h"

void line_add(struct line *line, double x, double y)
{
	if (line->count == LINE_POINTS_MAX)
		abort();
	line->x[line->count] = x;
	line->y[line->count] = y;
	line->count++;
}

static double max_abs_y(const struct line *line)
{
	double max = 0;
	size_t i;

	for (i = 0; i < line->count; i++)
		max = fmax(max, fabs(line->y[i]));
	return max > 0 ? max : 1;
}

static void fit_line(struct line *line)
{
	double mean_x = 0;
	double mean_y = 0;
	double xx = 0;
	double xy = 0;
	size_t i;

	for (i = 0; i < line->count; i++) {
		mean_x += line->x[i] / (double)line->count;
		mean_y += line->y[i] / (double)line->count;
	}
	for (i = 0; i < line->count; i++) {
		xx += (line->x[i] - mean_x) * (line->x[i] - mean_x);
		xy += (line->x[i] - mean_x) * (line->y[i] - mean_y);
	}
	line->slope = xx > 0 ? xy / xx : 0;
	line->intercept = mean_y - line->slope * mean_x;
}

double line_at(const struct line *line, double x)
{
	return line->intercept + line->slope * x;
}

void line_fit(struct line *line)
{
	double max_distance = 0;
	size_t i;

	fit_line(line);
	for (i = 0; i < line->count; i++)
		max_distance =
			fmax(max_distance,
			     fabs(line->y[i] - line_at(line, line->x[i])));
	line->residual = max_distance / max_abs_y(line);
	printf("%s\n  points", line->name);
	for (i = 0; i < line->count; i++)
		printf(" %g:%.6g", line->x[i], line->y[i]);
	printf("\n  fit %.6g + %.6g * x, residual %.1f%%\n", line->intercept,
	       line->slope, 100 * line->residual);
}

double capacity_cpu_us(void)
{
	struct timespec used;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
	return (double)used.tv_sec * 1e6 + (double)used.tv_nsec / 1e3;
}
