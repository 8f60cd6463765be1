#pragma once

#include "src/base/ids.hpp"
#include "src/request/answer_buffer.hpp"
#include "src/request/dispatcher.hpp"
#include "src/request/request_record.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace httplib
{
struct Response;
}

namespace tanagerlead::http
{

/// Keeps a record's count of readers while a caller is served, and calls
/// `left` after that.
class reading
{
public:
    using listener = std::function<void(request::record_ptr const&)>;

    reading(request::record_ptr record, listener left);
    reading(reading const&) = delete;
    reading& operator=(reading const&) = delete;
    ~reading();

    request::request_record& record() const { return *record_; }

private:
    request::record_ptr const record_;
    listener const left_;
};

/// Answers with an error that did not become a request.
void write_error(int status, std::string const& code, base::error const& error,
                 httplib::Response& response);

/// Answers with the end of a request that has nothing else to deliver.
void write_end(request::request_identity const& identity,
               request::answer_end const& end,
               std::vector<request::entry_address> const& other_entries,
               httplib::Response& response);

/// Answers with the content of a request that has ended.
void write_content(request::request_record const& record,
                   httplib::Response& response);

/// Answers with a stream that has begun, from the event after `last_event`.
void write_stream(std::shared_ptr<reading> const& reader,
                  std::uint64_t last_event, httplib::Response& response);

} // namespace tanagerlead::http
