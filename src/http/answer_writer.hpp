#pragma once

#include "src/http/call.hpp"
#include "src/request/answer_buffer.hpp"
#include "src/request/dispatcher.hpp"
#include "src/request/request_record.hpp"

#include <string>
#include <vector>

namespace tanagerlead::http
{

/// Answers with an error that did not become a request.
void write_error(int status, std::string const& code, base::error const& error,
                 http_reply& reply);

/// Answers with the end of a request that has nothing else to deliver.
void write_end(request::request_identity const& identity,
               request::answer_end const& end,
               std::vector<request::entry_address> const& other_entries,
               http_reply& reply);

/// Answers with the content of a request that has ended.
void write_content(request::request_record const& record, http_reply& reply);

/// Head of an answer whose events follow.
void write_stream_head(request::request_record const& record,
                       http_reply& reply);

/// The last events of every stream, without which it was cut.
std::string closing_events(request::request_identity const& identity,
                           request::answer_end const& end);

} // namespace tanagerlead::http
