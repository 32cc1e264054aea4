// Hashes, random bytes and identifiers. xxHash is used for placement and change detection; SHA-256 and HMAC from
// OpenSSL are used for API tokens, for the keys of client accounts and for the authentication of links.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelowind::base {

// Returns the 64-bit xxHash of `data`. Thread safety: pure.
uint64_t hash64(std::string_view data, uint64_t seed = 0);
// Returns the score of `candidate` for `key` in rendezvous hashing; the candidate with the highest score is chosen.
// Thread safety: pure.
uint64_t rendezvousScore(std::string_view key, std::string_view candidate);
// Returns the SHA-256 of `data` as lower-case hexadecimal digits. Thread safety: pure.
std::string sha256Hex(std::string_view data);
// Returns the SHA-256 of `data` as 32 raw bytes. Thread safety: any thread.
std::string sha256(std::string_view data);
// Returns the HMAC-SHA256 of `data` under `key` as raw bytes. Thread safety: pure.
std::string hmacSha256(std::string_view key, std::string_view data);
// Returns whether `a` and `b` are equal, in a time that does not depend on their contents, only on their lengths.
// Thread safety: pure.
bool constantTimeEqual(std::string_view a, std::string_view b);
// Returns `n` random bytes from the cryptographic generator of OpenSSL. Thread safety: any thread. Throws InternalFault
// when the generator fails.
std::string randomBytes(size_t n);
// Returns a new UUIDv7 whose first 48 bits are the creation time `wallMs`, in milliseconds since the Unix epoch.
// Thread safety: any thread. Throws InternalFault when the random generator fails.
std::string makeUuidV7(int64_t wallMs);
// Returns the creation time of a UUIDv7 in milliseconds since the Unix epoch, or -1 when `text` is not a UUIDv7.
// Thread safety: pure.
int64_t uuidV7TimeMs(std::string_view text);

} // namespace pomelowind::base
