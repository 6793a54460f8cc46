#ifndef ZR_CHART_CHARTS_TEXT_H
#define ZR_CHART_CHARTS_TEXT_H

/**
 * DOC: The shipped charts as the build found them
 */

/** Texts of ownership, worker, connection and job, in this order. */
extern const char *const zr_charts_text[];

#endif
