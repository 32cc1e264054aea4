// Hashes: xxHash for placement and change detection, OpenSSL for tokens and link proofs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pomelowind::base {

// 64-bit xxHash of `data`. Thread safety: pure.
uint64_t hash64(std::string_view data, uint64_t seed = 0);
// Score of `candidate` for `key` in rendezvous hashing; the highest score wins. Thread safety: pure.
uint64_t rendezvousScore(std::string_view key, std::string_view candidate);
// Lower-case hex SHA-256 of `data`. Thread safety: pure.
std::string sha256Hex(std::string_view data);
// HMAC-SHA256 of `data` under `key`, as raw bytes. Thread safety: pure.
std::string hmacSha256(std::string_view key, std::string_view data);
// Compares in time that does not depend on the contents. Thread safety: pure.
bool equalConstantTime(std::string_view a, std::string_view b);
// `n` random bytes from the platform's generator.
std::string randomBytes(size_t n);
// A new UUIDv7: its first 48 bits are the creation time, `wallMs`.
std::string makeUuidV7(int64_t wallMs);
// Creation time of a UUIDv7 in milliseconds since the Unix epoch, or -1 when `text` is not one. Thread safety: pure.
int64_t uuidV7TimeMs(std::string_view text);

} // namespace pomelowind::base
