/* Immutable, reference-counted catalogue snapshots and their lookups. */
#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "catalogue_internal.h"

struct ld_catalogue *
ld_catalogue_ref(struct ld_catalogue *c)
{
	c->refs++;
	return c;
}

void
ld_catalogue_unref(struct ld_catalogue *c)
{
	if (c == NULL)
		return;
	assert(c->refs > 0);
	c->refs--;
	if (c->refs > 0)
		return;
	for (size_t i = 0; i < c->n; i++) {
		free(c->entries[i].owner);
		free(c->entries[i].keys);
	}
	free(c->entries);
	free(c->by_owner);
	free(c);
}

int64_t
ld_catalogue_revision(const struct ld_catalogue *c)
{
	return c->revision;
}

size_t
ld_catalogue_count(const struct ld_catalogue *c)
{
	return c->n;
}

const struct ld_entry *
ld_catalogue_at(const struct ld_catalogue *c, size_t i)
{
	assert(i < c->n);
	return &c->entries[i];
}

static int
compare_owners(const void *a, const void *b)
{
	const struct ld_entry *const *x = a, *const *y = b;

	return strcmp((*x)->owner, (*y)->owner);
}

void
catalogue_index(struct ld_catalogue *c)
{
	c->by_owner = ld_alloc(c->n * sizeof(*c->by_owner));
	for (size_t i = 0; i < c->n; i++)
		c->by_owner[i] = &c->entries[i];
	if (c->n > 0)
		qsort(c->by_owner, c->n, sizeof(*c->by_owner), compare_owners);
}

const struct ld_entry *
ld_catalogue_find_key(const struct ld_catalogue *c, struct ld_str hash_hex)
{
	unsigned char hash[LD_KEY_HASH_BYTES];
	const struct ld_entry *hit = NULL;
	size_t len = 0;

	if (hash_hex.len != LD_SHA256_HEX_LEN ||
	    sodium_hex2bin(hash, sizeof(hash), hash_hex.p, hash_hex.len, NULL,
		&len, NULL) != 0 ||
	    len != sizeof(hash))
		return NULL;
	for (size_t i = 0; i < c->n; i++) {
		const struct ld_entry *e = &c->entries[i];

		for (size_t k = 0; k < e->n_keys; k++)
			hit = ld_equal_ct(hash, e->keys[k], sizeof(hash)) ? e
									  : hit;
	}
	return hit;
}

const struct ld_entry *
ld_catalogue_find_owner(const struct ld_catalogue *c, struct ld_str owner)
{
	size_t low = 0, high = c->n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;
		const char *name = c->by_owner[mid]->owner;
		size_t len = strlen(name);
		size_t n = len < owner.len ? len : owner.len;
		int d = n > 0 ? memcmp(name, owner.p, n) : 0;

		if (d == 0 && len == owner.len)
			return c->by_owner[mid];
		if (d < 0 || (d == 0 && len < owner.len))
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}
