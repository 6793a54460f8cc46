#ifndef ZR_DOMAIN_CONVERT_H
#define ZR_DOMAIN_CONVERT_H

#include "msg_jobs.h"
#include "zinniarack/job.h"

/**
 * DOC: Conversion between XDR messages and the structs of the library
 */

/**
 * zr_convert_spec_to_xdr() - a job as an XDR message
 * @out: borrows the strings of @spec
 * @spec: the job
 */
void zr_convert_spec_to_xdr(zx_job_spec *out, const struct zr_job_spec *spec);

/**
 * zr_convert_spec_from_xdr() - a job from an XDR message
 * @out: borrows the command of @message; do not clear it
 * @message: the message
 *
 * Return: 0, or ZR_E_PROTOCOL for values out of range.
 */
int zr_convert_spec_from_xdr(struct zr_job_spec *out,
			     const zx_job_spec *message);

void zr_convert_resources_to_xdr(zx_resources *out,
				 const struct zr_resources *resources);

#endif
