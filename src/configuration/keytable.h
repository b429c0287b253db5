#pragma once

#include "configuration/inidocument.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/** One key of a section of an INI file, which fills a member of @p Target. */
template<typename Target>
struct Key
{
    std::string name;
    /** Used when the key is missing; a key without default is required. */
    std::optional<std::string> defaultText;
    /** What a person may write, for messages. */
    std::string acceptedForm;
    /** Puts the value of a text into the target; returns false if the text is not of the accepted form. */
    std::function<bool(std::string_view, Target &)> assign;
};

/** A key without default. @p kind is one of the kinds of valueparser.h. */
template<typename Target, typename Kind>
Key<Target> requiredKey(std::string name, Kind kind, typename Kind::Type Target::*member)
{
    return {std::move(name), std::nullopt, kind.acceptedForm(), [kind, member](std::string_view text, Target &target) {
                auto value = kind.parse(text);
                if (!value) {
                    return false;
                }
                target.*member = std::move(*value);
                return true;
            }};
}

template<typename Target, typename Kind>
Key<Target> optionalKey(std::string name, std::string_view defaultText, Kind kind, typename Kind::Type Target::*member)
{
    Key<Target> key = requiredKey<Target>(std::move(name), kind, member);
    key.defaultText = std::string(defaultText);
    return key;
}

namespace detail {

/** Reports the entries of @p section that are not in @p keys. */
template<typename Target>
void checkKeysKnown(const IniDocument &document,
                    const IniSection &section,
                    const std::vector<Key<Target>> &keys,
                    std::vector<std::string> &problems)
{
    std::string known;
    for (const Key<Target> &key : keys) {
        known += ' ' + key.name;
    }
    for (const IniEntry &entry : section.entries) {
        bool isKnown = false;
        for (const Key<Target> &key : keys) {
            isKnown = isKnown || key.name == entry.key;
        }
        if (!isKnown) {
            problems.push_back(document.position(entry.line, section.name, entry.key)
                               + "the key is unknown; accepted:" + known);
        }
    }
}

} // namespace detail

/** Fills @p target from the section @p name, which may be missing, and adds everything wrong to @p problems. */
template<typename Target>
void readSection(const IniDocument &document,
                 const std::string &name,
                 const std::vector<Key<Target>> &keys,
                 Target &target,
                 std::vector<std::string> &problems)
{
    const IniSection *section = document.find(name);
    if (section != nullptr) {
        detail::checkKeysKnown(document, *section, keys, problems);
    }
    for (const Key<Target> &key : keys) {
        const IniEntry *entry = section == nullptr ? nullptr : section->find(key.name);
        if (entry == nullptr && !key.defaultText) {
            problems.push_back(document.position(section == nullptr ? 0 : section->line, name, key.name)
                               + "the key is missing; accepted: " + key.acceptedForm);
            continue;
        }
        if (key.assign(entry == nullptr ? *key.defaultText : entry->value, target)) {
            continue;
        }
        problems.push_back(document.position(entry == nullptr ? 0 : entry->line, name, key.name) + "'"
                           + (entry == nullptr ? *key.defaultText : entry->value)
                           + "' is not accepted; accepted: " + key.acceptedForm);
    }
}

} // namespace samphireswitch::configuration
