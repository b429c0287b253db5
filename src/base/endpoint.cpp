#include "base/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>

#include <charconv>

namespace samphireswitch {

namespace {

Error invalidAddress(std::string_view text, std::string_view acceptedForm)
{
    return {ResultCode::InvalidAddress, "'" + std::string(text) + "' is not of the form " + std::string(acceptedForm)};
}

} // namespace

Result<std::uint32_t> parseAddress(std::string_view text)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address_v4(std::string(text), error);
    if (error) {
        return boost::leaf::new_error(invalidAddress(text, "a.b.c.d"));
    }
    return address.to_uint();
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return boost::leaf::new_error(invalidAddress(text, "a.b.c.d:port"));
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, status] = std::from_chars(text.data() + colon + 1, end, port);
    if (status != std::errc() || parsedEnd != end || port == 0) {
        return boost::leaf::new_error(invalidAddress(text, "a.b.c.d:port"));
    }
    BOOST_LEAF_AUTO(address, parseAddress(text.substr(0, colon)));
    return Endpoint {address, port};
}

std::string addressToString(std::uint32_t address)
{
    return boost::asio::ip::address_v4(address).to_string();
}

std::string toString(const Endpoint &endpoint)
{
    return addressToString(endpoint.address) + ":" + std::to_string(endpoint.port);
}

} // namespace samphireswitch
