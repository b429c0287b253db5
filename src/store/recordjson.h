#pragma once

#include "base/resultcode.h"
#include "configuration/plan.h"
#include "configuration/servicerecord.h"

#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::store {

/** A plan that took effect. */
struct ConfirmedPlan
{
    std::string id;
    Generation generation = 0;

    bool operator==(const ConfirmedPlan &) const = default;
};

/** Value of the key `samphireswitch/config/head`. */
struct Head
{
    Generation generation = 0;
    /** The newest confirmed plans, oldest first. */
    std::vector<ConfirmedPlan> recent;

    bool operator==(const Head &) const = default;
};

/*
 * The JSON values of the store's keys. The read functions fail with ResultCode::StoreAnswerMalformed for text that no
 * process of this system writes, including records that break a rule of configuration::problemsOf().
 */
std::string writeRecord(const configuration::ServiceRecord &record);
Result<configuration::ServiceRecord> readRecord(std::string_view text);

std::string writeHead(const Head &head);
Result<Head> readHead(std::string_view text);

std::string writePlan(const configuration::Plan &plan);
Result<configuration::Plan> readPlan(std::string_view text);

std::string writeConfirmedPlan(const ConfirmedPlan &plan);
Result<ConfirmedPlan> readConfirmedPlan(std::string_view text);

std::string writeReleasedAddress(const configuration::ReleasedAddress &released);
Result<configuration::ReleasedAddress> readReleasedAddress(std::string_view text);

} // namespace samphireswitch::store
