#include "standin/declaredservices.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <sstream>

namespace samphireswitch::standin {

namespace {

constexpr std::string_view s_servicePrefix = "service ";
constexpr std::string_view s_hostPrefix = "host ";

DeclaredHost readHost(const std::string &name, const boost::property_tree::ptree &section)
{
    return {name, section.get<std::string>("service", ""), section.get<std::string>("failure_domain", "")};
}

Result<DeclaredService> readService(const std::string &name, const boost::property_tree::ptree &section)
{
    DeclaredService service;
    service.name = name;
    BOOST_LEAF_ASSIGN(service.address, parseAddress(section.get<std::string>("address", "")));
    service.requestPort = section.get<std::uint16_t>("request_port", 0);
    service.feedPort = section.get<std::uint16_t>("feed_port", 0);
    service.slots = section.get<int>("slots", 1);
    return service;
}

} // namespace

Result<DeclaredServices> DeclaredServices::parse(const std::string &text)
{
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return boost::leaf::new_error(Error {ResultCode::InvalidDeclaration, error.what()});
    }
    DeclaredServices declared;
    for (const auto &[section, keys] : tree) {
        if (section.starts_with(s_servicePrefix)) {
            BOOST_LEAF_AUTO(service, readService(section.substr(s_servicePrefix.size()), keys));
            declared.services.push_back(service);
        }
        if (section.starts_with(s_hostPrefix)) {
            declared.hosts.push_back(readHost(section.substr(s_hostPrefix.size()), keys));
        }
    }
    return declared;
}

Result<DeclaredService> DeclaredServices::service(const std::string &name) const
{
    for (const DeclaredService &candidate : services) {
        if (candidate.name == name) {
            return candidate;
        }
    }
    return boost::leaf::new_error(Error {ResultCode::InvalidDeclaration, "no service is named " + name});
}

} // namespace samphireswitch::standin
