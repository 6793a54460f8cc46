#include "zinniarack/config.h"

#include <ctype.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <string.h>

#include "zinniarack/errors.h"

#define SALT_BYTES 16
#define SECRET_BYTES 24
#define HASH_BYTES 32
#define HEX_SECRET_MAX (2 * SECRET_BYTES + 1)
#define HEX_HASH_MAX (2 * HASH_BYTES + 1)

static void to_hex(char *out, const unsigned char *bytes, size_t length)
{
	size_t i;

	for (i = 0; i < length; i++)
		snprintf(out + 2 * i, 3, "%02x", bytes[i]);
}

static int hash_secret(char out[HEX_HASH_MAX], const char *salt,
		       const char *secret)
{
	unsigned char digest[EVP_MAX_MD_SIZE];
	EVP_MD_CTX *md = EVP_MD_CTX_new();
	int ok;

	if (!md)
		return ZR_E_NOMEM;
	ok = EVP_DigestInit_ex(md, EVP_sha256(), NULL) &&
	     EVP_DigestUpdate(md, salt, strlen(salt)) &&
	     EVP_DigestUpdate(md, secret, strlen(secret)) &&
	     EVP_DigestFinal_ex(md, digest, NULL);
	EVP_MD_CTX_free(md);
	if (!ok)
		return zr_error_set(ZR_E_IO, "SHA-256 failed");
	to_hex(out, digest, HASH_BYTES);
	return 0;
}

/* Compared with for an unknown id, so that it takes as long as a known one. */
static const struct zr_config_key unknown_key = {
	.salt = "00000000000000000000000000000000",
	.sha256 = "00000000000000000000000000000000"
		  "00000000000000000000000000000000",
};

static const struct zr_config_key *find_key(const struct zr_config_key *keys,
					    uint32_t count, const char *id,
					    size_t length)
{
	const struct zr_config_key *found = &unknown_key;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (strlen(keys[i].id) == length &&
		    !CRYPTO_memcmp(keys[i].id, id, length))
			found = &keys[i];
	}
	return found;
}

int zr_config_authenticate(const struct zr_config_key **out,
			   const struct zr_config_key *keys, uint32_t count,
			   const char *credential)
{
	const char *dot = credential ? strrchr(credential, '.') : NULL;
	const struct zr_config_key *key;
	char hash[HEX_HASH_MAX];
	bool matches;
	int error;

	if (!dot)
		return zr_error_set(ZR_E_UNAUTHORIZED,
				    "the request has no key");
	key = find_key(keys, count, credential, (size_t)(dot - credential));
	error = hash_secret(hash, key->salt, dot + 1);
	if (error < 0)
		return error;
	matches = !CRYPTO_memcmp(hash, key->sha256, HEX_HASH_MAX - 1);
	if (!matches || key == &unknown_key)
		return zr_error_set(ZR_E_UNAUTHORIZED,
				    "unknown API key, or wrong secret");
	*out = key;
	return 0;
}

static int check_id(const char *id)
{
	const char *c;

	for (c = id; *c; c++) {
		if (!isalnum((unsigned char)*c) && !strchr("-_", *c))
			break;
	}
	if (*c || c == id || (size_t)(c - id) >= ZR_NAME_MAX)
		return zr_error_set(ZR_E_INVALID,
				    "the id of a key must be 1 to %d letters, "
				    "digits, '-' or '_'",
				    ZR_NAME_MAX - 1);
	return 0;
}

int zr_config_key_new(char credential[ZR_CREDENTIAL_MAX], char salt[33],
		      char sha256[65], const char *id)
{
	unsigned char random[SALT_BYTES + SECRET_BYTES];
	char secret[HEX_SECRET_MAX];
	int error = check_id(id);

	if (error < 0)
		return error;
	if (RAND_bytes(random, sizeof(random)) != 1)
		return zr_error_set(ZR_E_IO,
				    "the random number generator failed");
	to_hex(salt, random, SALT_BYTES);
	to_hex(secret, random + SALT_BYTES, SECRET_BYTES);
	snprintf(credential, ZR_CREDENTIAL_MAX, "%s.%s", id, secret);
	return hash_secret(sha256, salt, secret);
}
