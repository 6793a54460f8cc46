#ifndef ZINNIARACK_ERRORS_H
#define ZINNIARACK_ERRORS_H

/**
 * DOC: Errors
 *
 * Every function that can fail returns 0 or one of these negative numbers.
 * A number has a stable name that callers see in HTTP bodies, logs and exit
 * messages. Details of the last failure on this thread can be read with
 * zr_error_last().
 */

/**
 * enum zr_error_code - the type of a failure
 */
enum zr_error_code {
	ZR_OK = 0,
	ZR_E_NOMEM = -1,	   /* memory could not be had */
	ZR_E_INVALID = -2,	   /* input does not follow its schema */
	ZR_E_NOT_FOUND = -3,	   /* no such object */
	ZR_E_EXISTS = -4,	   /* an object of that name is there */
	ZR_E_CONFLICT = -5,	   /* another writer was first */
	ZR_E_TIMEOUT = -6,	   /* the deadline passed */
	ZR_E_UNREACHABLE = -7,	   /* no connection; nothing was sent */
	ZR_E_OUTCOME_UNKNOWN = -8, /* sent, and the answer never came */
	ZR_E_NOT_OWNER = -9,	   /* this process does not own the domain */
	ZR_E_FENCED = -10,	   /* a higher epoch has been seen */
	ZR_E_UNAUTHORIZED = -11,   /* no key, or a key not in force */
	ZR_E_FORBIDDEN = -12,	   /* the key's team may not do this */
	ZR_E_LIMIT = -13,	   /* over the team's upper limit */
	ZR_E_NEVER_FITS = -14,	   /* larger than any worker can hold */
	ZR_E_OVERLOADED = -15,	   /* refused before it ran; come back later */
	ZR_E_TOO_LARGE = -16,	   /* over a stated size limit */
	ZR_E_PROTOCOL = -17,	   /* the peer broke its protocol */
	ZR_E_IO = -18,		   /* the operating system reported an error */
	ZR_E_STATE = -19,	   /* the event is unknown in this state */
	ZR_E_STORE_DOWN = -20,	   /* the store cannot be reached */
	ZR_E_CANCELLED = -21,	   /* cancelled by its caller */
	ZR_E_SHUTTING_DOWN = -22,  /* the process is stopping */
	ZR_E_ADDRESS_IN_USE = -23, /* another process listens there */
	ZR_E_STALE_CONFIG = -24,   /* configuration too old to trust keys */
	ZR_E_FULL = -25,	   /* a bounded table or queue is full */
	ZR_E_LAST = -26,
};

/** Longest text of zr_error_last(), in bytes with the final NUL. */
#define ZR_ERROR_TEXT_MAX 512

/**
 * zr_error_name() - the stable name of an error number
 * @code: a number of &enum zr_error_code
 *
 * Return: a static string such as "not_found"; "unknown_error" for a number
 * outside the enumeration.
 */
const char *zr_error_name(int code);

/**
 * zr_error_from_name() - the error number of a stable name
 * @name: a name that zr_error_name() gave
 *
 * Return: the number, or ZR_E_PROTOCOL when no error has that name.
 */
int zr_error_from_name(const char *name);

/**
 * zr_error_set() - record a failure and return its number
 * @code: the type of the failure
 * @fmt: printf format for the details
 *
 * Return: @code, so that a caller can write `return zr_error_set(...)`.
 */
int zr_error_set(int code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * zr_error_last() - details of the last failure on this thread
 *
 * Return: a string that stays valid until the next zr_error_set().
 */
const char *zr_error_last(void);

#endif
