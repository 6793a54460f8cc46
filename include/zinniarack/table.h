#ifndef ZINNIARACK_TABLE_H
#define ZINNIARACK_TABLE_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: Handle tables
 *
 * A table stores entries of one size in an array and identifies each by a
 * 32-bit handle. A handle consists of the index of the entry and a generation
 * number, which changes when the index is reused. The handle of a removed entry
 * therefore does not match the entry that now has its index.
 *
 * Entries may move when the table grows: after zr_table_add(), look an entry up
 * by its handle again instead of using an old pointer.
 */

/** Identifies an entry of a table. */
typedef uint32_t zr_handle;

/** Number of low bits of a handle that hold the index of the entry. */
#define ZR_HANDLE_INDEX_BITS 21

/** A handle that identifies no entry. */
#define ZR_HANDLE_NONE 0u

struct zr_table;

/**
 * zr_table_new() - create an empty table
 * @out: receives the table, to be freed with zr_table_free()
 * @entry_size: size of an entry in bytes
 *
 * Return: 0, or ZR_E_NOMEM.
 */
int zr_table_new(struct zr_table **out, size_t entry_size);

/**
 * zr_table_free() - free a table and its entries
 * @table: the table, or NULL
 */
void zr_table_free(struct zr_table *table);

/**
 * zr_table_add() - add an entry, filled with zero bytes
 * @out: receives the handle of the entry
 * @table: the table
 *
 * Return: 0, ZR_E_NOMEM, or ZR_E_FULL if all indexes are in use.
 */
int zr_table_add(zr_handle *out, struct zr_table *table);

/**
 * zr_table_get() - get an entry by its handle
 * @table: the table
 * @handle: the handle
 *
 * Return: the entry, valid until the next zr_table_add(); NULL if it has been
 * removed.
 */
void *zr_table_get(const struct zr_table *table, zr_handle handle);

/**
 * zr_table_remove() - remove an entry
 * @table: the table
 * @handle: handle of the entry; ignored if it identifies none
 *
 * The handle can be assigned again only after its index has been reused about
 * two thousand times, when the generation number wraps around.
 */
void zr_table_remove(struct zr_table *table, zr_handle handle);

/**
 * zr_table_next() - iterate over the entries in the order of their indexes
 * @table: the table
 * @previous: the handle returned last, or ZR_HANDLE_NONE to start
 *
 * Return: the handle of the next entry, or ZR_HANDLE_NONE at the end.
 */
zr_handle zr_table_next(const struct zr_table *table, zr_handle previous);

/**
 * zr_table_count() - number of entries in a table
 * @table: the table
 */
size_t zr_table_count(const struct zr_table *table);

/**
 * zr_handle_index() - the index of the entry that a handle identifies
 * @handle: the handle
 *
 * Lets a caller keep an array parallel to the table.
 */
static inline uint32_t zr_handle_index(zr_handle handle)
{
	return handle & ((1u << ZR_HANDLE_INDEX_BITS) - 1);
}

#endif
