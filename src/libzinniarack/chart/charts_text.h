#ifndef ZR_CHART_CHARTS_TEXT_H
#define ZR_CHART_CHARTS_TEXT_H

/**
 * DOC: Built-in charts
 *
 * The text of the files in charts/ at build time; see cmake/charts_text.c.in.
 */

/** YAML of ownership, worker, connection, job and task, in this order. */
extern const char *const zr_charts_text[];

#endif
