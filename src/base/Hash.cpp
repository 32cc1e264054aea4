#include "pomelowind/base/Hash.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Random.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <random>
#include <xxhash.h>

namespace pomelowind::base {

namespace {

    constexpr size_t UUID_LENGTH = 36;
    constexpr std::string_view HEX_DIGITS = "0123456789abcdef";

    std::string hex(std::string_view bytes)
    {
        std::string out;
        out.reserve(bytes.size() * 2);
        for (char c : bytes) {
            auto b = static_cast<unsigned char>(c);
            out += HEX_DIGITS[b >> 4];
            out += HEX_DIGITS[b & 15];
        }
        return out;
    }

    bool isHyphenPosition(size_t i) { return i == 8 || i == 13 || i == 18 || i == 23; }

    int hexValue(char c)
    {
        if (c >= '0' && c <= '9')
            return c - '0';
        if (c >= 'a' && c <= 'f')
            return c - 'a' + 10;
        if (c >= 'A' && c <= 'F')
            return c - 'A' + 10;
        return -1;
    }

}

uint64_t hash64(std::string_view data, uint64_t seed) { return XXH64(data.data(), data.size(), seed); }

uint64_t rendezvousScore(std::string_view key, std::string_view candidate) { return hash64(candidate, hash64(key)); }

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data());
    return hex({ reinterpret_cast<const char*>(digest.data()), digest.size() });
}

std::string sha256(std::string_view data)
{
    std::string out(SHA256_DIGEST_LENGTH, '\0');
    SHA256(
        reinterpret_cast<const unsigned char*>(data.data()), data.size(), reinterpret_cast<unsigned char*>(out.data()));
    return out;
}

std::string hmacSha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> mac {};
    unsigned n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(data.data()),
        data.size(), mac.data(), &n);
    return { reinterpret_cast<const char*>(mac.data()), n };
}

bool constantTimeEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomBytes(size_t n)
{
    std::string out(n, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(n)) != 1)
        throw InternalFault("the platform's random generator failed");
    return out;
}

std::string makeUuidV7(int64_t wallMs)
{
    std::string bytes = randomBytes(16);
    for (int i = 0; i < 6; ++i)
        bytes[i] = static_cast<char>(wallMs >> (8 * (5 - i)));
    bytes[6] = static_cast<char>(0x70 | (bytes[6] & 0x0f));
    bytes[8] = static_cast<char>(0x80 | (bytes[8] & 0x3f));
    std::string digits = hex(bytes);
    return digits.substr(0, 8) + "-" + digits.substr(8, 4) + "-" + digits.substr(12, 4) + "-" + digits.substr(16, 4)
        + "-" + digits.substr(20);
}

int64_t uuidV7TimeMs(std::string_view text)
{
    if (text.size() != UUID_LENGTH || text[14] != '7')
        return -1;
    int64_t ms = 0;
    int digits = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        if (isHyphenPosition(i)) {
            if (text[i] != '-')
                return -1;
            continue;
        }
        int v = hexValue(text[i]);
        if (v < 0)
            return -1;
        if (digits++ < 12)
            ms = ms * 16 + v;
    }
    return ms;
}

uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32) ^ device();
}

} // namespace pomelowind::base
