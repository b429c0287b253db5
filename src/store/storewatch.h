#pragma once

#include "store/storeclient.h"
#include "store/storeconnection.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>

namespace samphireswitch::store {

/** A watch on one key, held open over several waits. Belongs to one thread. */
class StoreWatch
{
public:
    explicit StoreWatch(const Endpoint &server);

    /**
     * Begins to watch @p key for writes at @p startRevision or later. Fails with ResultCode::StoreUnavailable or
     * StoreAnswerMalformed.
     */
    Result<void> open(const std::string &key, Revision startRevision, std::chrono::milliseconds timeLimit);

    /**
     * Waits until the key was written, and returns true; returns false if @p deadline passed first. Fails, and closes
     * the watch, with ResultCode::StoreUnavailable if the watch was lost, StoreCompacted if the start revision was
     * discarded, and StoreAnswerMalformed.
     */
    Result<bool> wait(TimePoint deadline);

    bool isOpen() const;
    void close();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    Result<bool> waitUnguarded(TimePoint deadline);
    /** Feeds the bytes that arrived to the parser of the HTTP answer. */
    Result<void> parseArrived();
    /** Takes the next complete line from the body; nothing if there is none. */
    std::optional<std::string> takeLine();
    /** True if the message announces a write. */
    static Result<bool> readMessage(const std::string &line);

    StoreConnection m_connection;
    std::optional<Parser> m_parser;
    std::string m_arrived;
};

} // namespace samphireswitch::store
