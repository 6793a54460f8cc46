#ifndef ZR_DOMAIN_IMAGE_H
#define ZR_DOMAIN_IMAGE_H

#include <stddef.h>
#include <stdint.h>

#include "msg_journal.h"

/**
 * DOC: Image of what the journal holds
 *
 * The records that matter still, as kept in the store: nothing that is only
 * decided or on its way. Snapshots are written from it, and a take-over is
 * told from it.
 */

struct zr_image;

int zr_image_new(struct zr_image **out, unsigned int groups);

/** zr_image_group() - the group of a job's number */
unsigned int zr_image_group(const struct zr_image *image, uint64_t number);

/** zr_image_group_of() - the group of a record */
unsigned int zr_image_group_of(const struct zr_image *image,
			       const zx_record *record);

/**
 * zr_image_apply() - a record is kept
 * @image: the image
 * @record: the record
 * @bytes: its encoding; copied
 * @length: bytes of @bytes
 */
void zr_image_apply(struct zr_image *image, const zx_record *record,
		    const char *bytes, u_int length);

/** zr_image_forget() - a job needs to be remembered no more */
void zr_image_forget(struct zr_image *image, uint64_t number);

/** zr_image_bytes() - bytes of all records */
size_t zr_image_bytes(const struct zr_image *image);

/** zr_image_jobs() - number of jobs */
size_t zr_image_jobs(const struct zr_image *image);

/** Called with the encoding of a record. */
typedef void (*zr_image_bytes_fn)(void *ctx, const char *bytes, u_int length);

/** zr_image_each() - call @each for all records of a group, jobs by number */
void zr_image_each(struct zr_image *image, unsigned int group,
		   zr_image_bytes_fn each, void *ctx);

/** zr_image_all() - call @each for all records: workers, then jobs by number */
void zr_image_all(struct zr_image *image, zr_image_bytes_fn each, void *ctx);

void zr_image_free(struct zr_image *image);

#endif
