#ifndef ZR_NET_UV_TIMERS_H
#define ZR_NET_UV_TIMERS_H

#include <uv.h>

#include "zinniarack/timer.h"

/**
 * zr_uv_timers_for_loop() - timers that run on a libuv loop
 * @loop: the loop, which must outlive the timers
 *
 * Return: a &struct zr_timers to create timers with.
 */
struct zr_timers zr_uv_timers_for_loop(uv_loop_t *loop);

#endif
