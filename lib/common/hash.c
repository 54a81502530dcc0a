/* Hashes: XXH3 for tables, SHA-256 for caller keys, BLAKE2b for frames. */
#include <assert.h>
#include <sodium.h>
#include <xxhash.h>

#include "ld_common.h"

_Static_assert(LD_MAC_BYTES == crypto_generichash_BYTES, "size of the MAC");

enum ld_status
ld_common_init(void)
{
	if (sodium_init() < 0)
		return ld_fail(LD_E_UNAVAILABLE, "sodium_init() failed");
	return LD_OK;
}

uint64_t
ld_hash64(struct ld_str s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s.p, s.len, seed);
}

void
ld_sha256_hex(struct ld_str s, char out[LD_SHA256_HEX_LEN + 1])
{
	unsigned char digest[crypto_hash_sha256_BYTES];

	crypto_hash_sha256(digest, (const unsigned char *)s.p, s.len);
	sodium_bin2hex(out, LD_SHA256_HEX_LEN + 1, digest, sizeof(digest));
}

void
ld_mac(struct ld_str key, struct ld_str msg, unsigned char out[LD_MAC_BYTES])
{
	assert(key.len >= 1 && key.len <= crypto_generichash_KEYBYTES_MAX);
	crypto_generichash(out, LD_MAC_BYTES, (const unsigned char *)msg.p,
	    msg.len, (const unsigned char *)key.p, key.len);
}

bool
ld_equal_ct(const void *a, const void *b, size_t n)
{
	return sodium_memcmp(a, b, n) == 0;
}
