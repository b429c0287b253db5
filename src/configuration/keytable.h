#pragma once

#include "configuration/inidocument.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireswitch::configuration {

/** Describes a key of an INI section whose value is stored in an object of type @p Target. */
template<typename Target>
struct Key
{
    std::string name;
    /** Text parsed if the key is missing from the section; std::nullopt makes the key required. */
    std::optional<std::string> defaultText;
    /** Description of the accepted values for error messages. */
    std::string acceptedForm;
    /** Parses the text and stores its value in the target; returns false if the text is not accepted. */
    std::function<bool(std::string_view, Target &)> assign;
};

/** Returns a key that must be present. @p kind is one of the value parsers of valueparser.h. */
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

/** Returns a key that takes the value of @p defaultText if it is missing from the section. */
template<typename Target, typename Kind>
Key<Target> optionalKey(std::string name, std::string_view defaultText, Kind kind, typename Kind::Type Target::*member)
{
    Key<Target> key = requiredKey<Target>(std::move(name), kind, member);
    key.defaultText = std::string(defaultText);
    return key;
}

namespace detail {

/** Adds a message to @p problems for each entry of @p section whose key is not in @p keys. */
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

/**
 * Fills @p target with the values of section @p name. A missing section is read as an empty one. Adds a message to
 * @p problems for each unknown key, each missing required key and each value that is not accepted.
 */
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
