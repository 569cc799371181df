#include <mulberryrudder/core/digest.hpp>

#include <boost/algorithm/hex.hpp>

#include <iterator>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdexcept>

namespace mulberryrudder
{

digest sha256(std::string_view text)
{
    digest out;
    unsigned int n = 0;
    if (EVP_Digest(text.data(), text.size(), out.bytes.data(), &n, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    return out;
}

bool equal_in_constant_time(digest const& a, digest const& b)
{
    return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), a.bytes.size()) == 0;
}

std::string to_hex(digest const& value)
{
    std::string out;
    boost::algorithm::hex_lower(value.bytes.begin(), value.bytes.end(), std::back_inserter(out));
    return out;
}

bool from_hex(std::string_view text, digest& out)
{
    if (text.size() != 2 * out.bytes.size())
        return false;
    try
    {
        boost::algorithm::unhex(text.begin(), text.end(), out.bytes.begin());
    }
    catch (boost::algorithm::hex_decode_error const&)
    {
        return false;
    }
    return true;
}

} // namespace mulberryrudder
