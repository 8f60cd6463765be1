#pragma once

#include "review/standins-3/ledger.hpp"

#include <functional>
#include <optional>

namespace tanagerlead::review
{

/// One request of a client.
struct client_request
{
    std::string id_;
    std::string path_;
    std::string const* body_ = nullptr;
    /// Time over which the body is sent, evenly.
    base::duration send_time_{};
    base::duration deadline_{};
    /// Set if the request takes up a stream.
    std::optional<int> last_event_;
    std::string resumes_;
};

/// What a client got.
struct client_answer
{
    try_end end_ = try_end::closed;
    int status_ = 0;
    /// Of a refusal.
    double retry_after_seconds_ = 0;
    int last_event_ = 0;
    /// Software versions of the runners that made the events.
    std::vector<std::string> versions_;
};

/// A client with one connection, which it keeps for further requests.
class client
{
public:
    explicit client(record& out) : record_{out} {}
    ~client();
    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /// Sends the request, after connecting if necessary, and waits for the end
    /// of its answer. `on_event` gets the number of each event and tells
    /// whether to go on reading.
    client_answer call(
        std::string const& ip, client_request const& request,
        std::function<bool(int)> const& on_event = [](int) { return true; });
    void disconnect();

private:
    bool connect(std::string const& ip);
    bool send_all(std::string_view bytes) const;
    bool send_request(std::string const& ip, client_request const& request);
    /// Reads more input. False at the end of the connection or at `until`.
    bool read_more(base::time_point until);
    client_answer read_answer(base::time_point until,
                              std::function<bool(int)> const& on_event);
    bool read_chunks(base::time_point until, client_answer& out,
                     std::function<bool(int)> const& on_event);
    static void take_events(std::string& text, client_answer& out);

    record& record_;
    int socket_ = -1;
    std::string ip_;
    std::string input_;
    bool is_late_ = false;
};

} // namespace tanagerlead::review
