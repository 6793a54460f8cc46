#ifndef ZR_DOMAIN_CONVERT_H
#define ZR_DOMAIN_CONVERT_H

#include "msg_jobs.h"
#include "zinniarack/job.h"

/**
 * DOC: Conversion between XDR messages and the types of the library
 */

/**
 * zr_convert_spec_to_xdr() - convert a job specification to an XDR message
 * @out: the message; points to the strings of @spec, so do not free them
 * @spec: the specification
 */
void zr_convert_spec_to_xdr(zx_job_spec *out, const struct zr_job_spec *spec);

/**
 * zr_convert_spec_from_xdr() - convert an XDR message to a job specification
 * @out: the specification; its command points into @message, so do not pass it
 *	to zr_job_spec_clear()
 * @message: the message
 *
 * Return: 0, or ZR_E_PROTOCOL if the kind or the number of tasks is out of
 * range.
 */
int zr_convert_spec_from_xdr(struct zr_job_spec *out,
			     const zx_job_spec *message);

/** zr_convert_resources_to_xdr() - convert resources to an XDR message */
void zr_convert_resources_to_xdr(zx_resources *out,
				 const struct zr_resources *resources);

#endif
