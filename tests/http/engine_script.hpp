#pragma once

#include <httplib.h>

#include <string>

namespace tanagerlead::test
{

/// Event number `id` of an engine's stream.
inline std::string engine_event(int id)
{
    auto const number = std::to_string(id);
    return "id: " + number + "\ndata: {\"n\":" + number + "}\n\n";
}

inline std::string engine_events(int from, int to)
{
    std::string text;
    for (int id = from; id <= to; ++id)
    {
        text += engine_event(id);
    }
    return text;
}

enum class stream_end
{
    /// The end mark, and the end of the body.
    done,
    /// The connection breaks.
    cut,
    /// The body ends without the end mark.
    unmarked,
};

/// A target that answers with a stream.
inline httplib::Server::Handler streams(std::string text, stream_end end)
{
    if (end == stream_end::done)
    {
        text += "data: [DONE]\n\n";
    }
    return [text, end](httplib::Request const&, httplib::Response& response)
    {
        response.set_chunked_content_provider(
            "text/event-stream",
            [text, end](std::size_t, httplib::DataSink& sink)
            {
                sink.write(text.data(), text.size());
                if (end != stream_end::cut)
                {
                    sink.done();
                }
                return end != stream_end::cut;
            });
    };
}

/// A target that answers as if to another request.
inline httplib::Server::Handler with_wrong_id(httplib::Server::Handler inner)
{
    return [inner = std::move(inner)](httplib::Request const& request,
                                      httplib::Response& response)
    {
        response.headers.erase("X-Request-Id");
        response.set_header("X-Request-Id", "another");
        inner(request, response);
    };
}

/// A target that answers with this status and text.
inline httplib::Server::Handler answers(int status, std::string text)
{
    return [status, text = std::move(text)](httplib::Request const&,
                                            httplib::Response& response)
    {
        response.status = status;
        response.set_content(text, "application/json");
    };
}

} // namespace tanagerlead::test
