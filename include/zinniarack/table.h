#ifndef ZINNIARACK_TABLE_H
#define ZINNIARACK_TABLE_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Handle tables
 *
 * A table keeps rows of one size and names them by small handles. A handle
 * holds the row's index and a generation, so that the handle of a removed row
 * is told apart from that of the row which took its place. Rows may move when
 * the table grows: keep handles, not pointers, across calls that add.
 */

/** Names a row of a table; 0 names none. */
typedef uint32_t zr_handle;

/** Bits of a handle that hold the row's index. */
#define ZR_HANDLE_INDEX_BITS 21

/** The handle that names no row. */
#define ZR_HANDLE_NONE 0u

struct zr_table;

/**
 * zr_table_new() - make an empty table
 * @out: the new table, to be freed with zr_table_free()
 * @row_size: bytes of a row
 *
 * Return: 0, or ZR_E_NOMEM.
 */
int zr_table_new(struct zr_table **out, size_t row_size);

/**
 * zr_table_free() - free a table and its rows
 * @table: the table, or NULL
 */
void zr_table_free(struct zr_table *table);

/**
 * zr_table_add() - add a row of zero bytes
 * @out: the new row's handle
 * @table: the table
 *
 * Return: 0, ZR_E_NOMEM, or ZR_E_FULL when no index is left.
 */
int zr_table_add(zr_handle *out, struct zr_table *table);

/**
 * zr_table_get() - the row that a handle names
 * @table: the table
 * @handle: the handle
 *
 * Return: the row, valid until the next zr_table_add(); NULL if it is gone.
 */
void *zr_table_get(const struct zr_table *table, zr_handle handle);

/**
 * zr_table_remove() - remove a row; its handle is not given again soon
 * @table: the table
 * @handle: the handle; one that names no row is ignored
 */
void zr_table_remove(struct zr_table *table, zr_handle handle);

/**
 * zr_table_next() - walk the rows in the order of their indexes
 * @table: the table
 * @previous: the handle before, or ZR_HANDLE_NONE to begin
 *
 * Return: the next row's handle, ZR_HANDLE_NONE at the end.
 */
zr_handle zr_table_next(const struct zr_table *table, zr_handle previous);

/**
 * zr_table_count() - how many rows the table holds
 * @table: the table
 */
size_t zr_table_count(const struct zr_table *table);

/**
 * zr_handle_index() - the index part of a handle, for arrays kept alongside
 * @handle: the handle
 */
static inline uint32_t zr_handle_index(zr_handle handle)
{
	return handle & ((1u << ZR_HANDLE_INDEX_BITS) - 1);
}

#endif
