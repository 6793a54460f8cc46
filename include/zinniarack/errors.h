#ifndef ZINNIARACK_ERRORS_H
#define ZINNIARACK_ERRORS_H

/**
 * DOC: Errors
 *
 * A function that can fail returns 0 or a negative &enum zr_error_code. Each
 * code has a stable name, which appears in HTTP bodies, logs and messages of
 * the commands. zr_error_last() returns details of the last failure on this
 * thread.
 */

/**
 * enum zr_error_code - error codes
 */
enum zr_error_code {
	ZR_OK = 0,
	ZR_E_NOMEM = -1,	   /* out of memory */
	ZR_E_INVALID = -2,	   /* input violates its schema */
	ZR_E_NOT_FOUND = -3,	   /* no such object */
	ZR_E_EXISTS = -4,	   /* an object of that name exists already */
	ZR_E_CONFLICT = -5,	   /* another writer changed the object first */
	ZR_E_TIMEOUT = -6,	   /* the deadline has passed */
	ZR_E_UNREACHABLE = -7,	   /* no connection; nothing was sent */
	ZR_E_OUTCOME_UNKNOWN = -8, /* sent, but no response was received */
	ZR_E_NOT_OWNER = -9,	   /* this process does not own the domain */
	ZR_E_FENCED = -10,	   /* the receiver knows a higher epoch */
	ZR_E_UNAUTHORIZED = -11,   /* API key missing or not valid */
	ZR_E_FORBIDDEN = -12,	   /* the key's team lacks the permission */
	ZR_E_LIMIT = -13,	   /* above the team's upper limit */
	ZR_E_NEVER_FITS = -14,	   /* larger than the capacity of any worker */
	ZR_E_OVERLOADED = -15,	   /* refused before it ran; retry later */
	ZR_E_TOO_LARGE = -16,	   /* above a size limit */
	ZR_E_PROTOCOL = -17,	   /* the peer violated the protocol */
	ZR_E_IO = -18,		   /* the operating system reported an error */
	ZR_E_STATE = -19,	   /* not allowed in the current state */
	ZR_E_STORE_DOWN = -20,	   /* the store is unreachable */
	ZR_E_CANCELLED = -21,	   /* cancelled by the caller */
	ZR_E_SHUTTING_DOWN = -22,  /* the process is shutting down */
	ZR_E_ADDRESS_IN_USE = -23, /* another process uses the address */
	ZR_E_STALE_CONFIG = -24,   /* configuration too old to check keys */
	ZR_E_FULL = -25,	   /* a table or queue has reached its limit */
	ZR_E_EVACUATED = -26,	   /* the failure domain accepts no new work */
	ZR_E_LAST = -27,	   /* not an error: end of the list */
};

/** Maximum size in bytes of zr_error_last(), including the NUL byte. */
#define ZR_ERROR_TEXT_MAX 512

/**
 * zr_error_name() - the stable name of an error code
 * @code: an &enum zr_error_code
 *
 * Return: a static string such as "not_found"; "unknown_error" for any other
 * number.
 */
const char *zr_error_name(int code);

/**
 * zr_error_from_name() - the error code of a stable name
 * @name: a name as returned by zr_error_name()
 *
 * Return: the error code, or ZR_E_PROTOCOL if no error has that name.
 */
int zr_error_from_name(const char *name);

/**
 * zr_error_set() - record the details of a failure on this thread
 * @code: error code
 * @fmt: printf format of the text that zr_error_last() returns
 *
 * Return: @code, so that a caller can write `return zr_error_set(...)`.
 */
int zr_error_set(int code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * zr_error_last() - details of the last failure on this thread
 *
 * Return: a string that is valid until the next zr_error_set() on this thread.
 */
const char *zr_error_last(void);

#endif
