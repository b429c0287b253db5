#pragma once

#include "base/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphireswitch::standin {

struct DeclaredHost
{
    std::string name;
    std::string service;
    std::string failureDomain;
};

struct DeclaredService
{
    std::string name;
    std::uint32_t address = 0;
    std::uint16_t requestPort = 0;
    std::uint16_t feedPort = 0;
    int slots = 1;
};

/** The part of a declaration that says which stand-in processes a deployment needs. */
struct DeclaredServices
{
    std::vector<DeclaredService> services;
    std::vector<DeclaredHost> hosts;

    /** Fails with ResultCode::InvalidDeclaration. Rules are not checked here: the planner does that. */
    static Result<DeclaredServices> parse(const std::string &text);

    /** Fails with ResultCode::InvalidDeclaration if there is none of this name. */
    Result<DeclaredService> service(const std::string &name) const;
};

} // namespace samphireswitch::standin
