#include "configuration/inidocument.h"

#include "base/trimmed.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace samphireswitch::configuration {

namespace {

// Bytes read at a time. Every process reads its settings file once a second, so that the memory used for it should
// follow the size of the file and not the permitted maximum.
constexpr std::size_t s_readChunkSize = 4096;

} // namespace

const IniEntry *IniSection::find(std::string_view key) const
{
    const auto entry = std::ranges::find(entries, key, &IniEntry::key);
    return entry == entries.end() ? nullptr : &*entry;
}

IniDocument::IniDocument(std::string_view text, std::string fileName)
    : m_fileName(std::move(fileName))
{
    parseValues(scan(text));
}

const std::vector<IniSection> &IniDocument::sections() const
{
    return m_sections;
}

const IniSection *IniDocument::find(std::string_view name) const
{
    const auto section = std::ranges::find(m_sections, name, &IniSection::name);
    return section == m_sections.end() ? nullptr : &*section;
}

const std::vector<std::string> &IniDocument::problems() const
{
    return m_problems;
}

const std::string &IniDocument::fileName() const
{
    return m_fileName;
}

std::string IniDocument::position(int line, std::string_view section, std::string_view key) const
{
    std::string text = m_fileName + (line == 0 ? std::string() : ':' + std::to_string(line)) + ": ";
    if (!section.empty()) {
        text += '[' + std::string(section) + "] ";
    }
    if (!key.empty()) {
        text += std::string(key) + ": ";
    }
    return text;
}

std::string IniDocument::scan(std::string_view text)
{
    std::string accepted;
    int number = 0;
    while (!text.empty()) {
        ++number;
        const auto end = std::min(text.find('\n'), text.size());
        scanLine(trimmed(text.substr(0, end)), number, accepted);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return accepted;
}

void IniDocument::scanLine(std::string_view line, int number, std::string &accepted)
{
    if (line.empty() || line.front() == ';' || line.front() == '#') {
        return;
    }
    if (line.find('\0') != std::string_view::npos) {
        m_problems.push_back(position(number, {}, {}) + "the line contains a zero byte; accepted: text");
        return;
    }
    if (line.front() == '[') {
        scanSection(line, number, accepted);
        return;
    }
    scanEntry(line, number, accepted);
}

void IniDocument::scanSection(std::string_view line, int number, std::string &accepted)
{
    const std::string_view name = line.back() == ']' ? trimmed(line.substr(1, line.size() - 2)) : std::string_view();
    m_skipping = true;
    if (name.empty() || name.find(']') != std::string_view::npos) {
        m_problems.push_back(position(number, {}, {}) + "'" + std::string(line)
                             + "' is not a section; accepted: [NAME]");
        return;
    }
    if (const IniSection *first = find(name)) {
        m_problems.push_back(position(number, name, {}) + "the section is a duplicate of line "
                             + std::to_string(first->line) + "; accepted: each section once");
        return;
    }
    m_skipping = false;
    m_sections.push_back({std::string(name), number, {}});
    accepted += '[' + std::string(name) + "]\n";
}

void IniDocument::scanEntry(std::string_view line, int number, std::string &accepted)
{
    if (m_skipping) {
        return;
    }
    const auto separator = line.find('=');
    const std::string_view key = trimmed(line.substr(0, separator));
    if (separator == std::string_view::npos || key.empty()) {
        m_problems.push_back(position(number, {}, {}) + "'" + std::string(line)
                             + "' is neither a section nor an entry; accepted: KEY = VALUE");
        return;
    }
    if (m_sections.empty()) {
        m_problems.push_back(position(number, {}, key) + "the key is outside a section; accepted: keys after [NAME]");
        return;
    }
    IniSection &section = m_sections.back();
    if (const IniEntry *first = section.find(key)) {
        m_problems.push_back(position(number, section.name, key) + "the key is a duplicate of line "
                             + std::to_string(first->line) + "; accepted: each key once");
        return;
    }
    section.entries.push_back({std::string(key), {}, number});
    accepted += std::string(line) + '\n';
}

void IniDocument::parseValues(const std::string &accepted)
{
    // Duplicates were removed by scan(), because the INI parser of Boost.PropertyTree stops at the first one.
    boost::property_tree::ptree tree;
    std::istringstream stream(accepted);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        m_problems.push_back(m_fileName + ": " + error.message());
        return;
    }
    for (IniSection &section : m_sections) {
        const auto values = tree.find(section.name);
        if (values == tree.not_found()) {
            continue;
        }
        for (IniEntry &entry : section.entries) {
            const auto value = values->second.find(entry.key);
            if (value == values->second.not_found()) {
                continue;
            }
            entry.value = value->second.data();
        }
    }
}

std::optional<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::string content;
    std::array<char, s_readChunkSize> chunk;
    while (content.size() <= s_maximumIniFileSize && file.read(chunk.data(), chunk.size()).gcount() > 0) {
        content.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
    }
    // Reading a directory fails without reaching the end.
    if (!file.eof() || file.bad() || content.size() > s_maximumIniFileSize) {
        return std::nullopt;
    }
    return content;
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += text.empty() ? "" : "\n";
        text += line;
    }
    return text;
}

} // namespace samphireswitch::configuration
