#pragma once

#include "src/base/random.hpp"
#include "src/entry/peer_exchange.hpp"
#include "src/entry/stream_start_store.hpp"
#include "src/routing/origin_keeper.hpp"
#include "src/routing/stream_inference.hpp"
#include "src/routing/stream_origins.hpp"
#include "src/routing/target_versions.hpp"

#include <functional>
#include <map>
#include <set>

namespace tanagerlead::entry
{

/// Finds the software version that began a stream, here or at other daemons,
/// and tells it to others.
class stream_origin_exchange
{
public:
    using found_callback = std::function<void(routing::origin_finding const&)>;

    /// Finds the version of the target behind a connection.
    using version_finder = std::function<routing::version_finding(
        routing::target_info const& target, base::time_point connected_at)>;

    /// Asks for the version of the target behind a connection, which is not
    /// known yet; `on_versions_proved` may follow.
    using version_prover = std::function<void(
        routing::target_info const& target, base::time_point connected_at)>;

    /// From when on the registry's entries can be relied on; max while it
    /// cannot be read.
    using settled_finder = std::function<base::time_point()>;

    /// Calls that keep origins, and starts of streams, in the store and read
    /// those of all daemons.
    struct archive_callbacks
    {
        std::function<void(routing::origin_archive::batch)> write_;
        std::function<void()> read_;
        std::function<void(routing::stream_starts::update)> write_starts_ =
            [](routing::stream_starts::update const&) {
            };
        std::function<void()> read_starts_ = [] {
        };
    };

    /// A stream that has begun at a target.
    struct begun_stream
    {
        std::string attempt_;
        /// The start that was kept for it.
        routing::stream_start start_;
        routing::target_info target_;
        /// When the connection to the target was opened.
        base::time_point connected_at_;
    };

    /// A stream that a caller takes up.
    struct resumption
    {
        /// The attempt that brought its first event.
        std::string attempt_;
        std::string host_;
        std::string path_;
        /// The caller leaves if the stream does not go on for so long.
        base::duration patience_{};
    };

    /// What became of the streams that callers took up at this daemon, and how
    /// many origins it handed to the store.
    struct origin_counts
    {
        std::uint64_t found_ = 0;
        std::uint64_t unknown_ = 0;
        /// Of those found: no daemon knew the stream, but its route.
        std::uint64_t inferred_ = 0;
        std::uint64_t archived_ = 0;
        /// Of those unknown, by reason.
        std::map<routing::origin_gap, std::uint64_t> gaps_;
    };

    /// `peers` must outlive the exchange.
    stream_origin_exchange(net::asio::io_context& loop, peer_exchange& peers,
                           version_finder version_of, version_prover prove,
                           settled_finder settled_at);

    void set_archive_callbacks(archive_callbacks callbacks)
    {
        archive_callbacks_ = std::move(callbacks);
    }
    void set_targets(std::vector<routing::target_info> const& targets);
    /// Daemons that begin streams, this one included.
    void set_fleet_size(std::size_t daemons)
    {
        keeper_.set_fleet_size(daemons);
    }
    /// Versions that were asked for may be known now.
    void on_versions_proved();
    /// Origins were read from the store.
    void on_archived(routing::stream_message const& message);
    /// A batch of origins is in the store, or may not be.
    void on_written(routing::origin_archive::batch_number written,
                    bool is_kept);
    void on_starts_kept(routing::stream_starts::revision written)
    {
        keeper_.on_starts_kept(written);
    }
    void on_starts_read(kept_stream_starts const& found);
    /// The reading that was sent at `asked` tells nothing.
    void on_starts_unusable(base::time_point asked);

    /// A stream of `pool` is about to begin, or to go on; see `origin_keeper`.
    routing::begin_permission may_begin(routing::stream_start const& start,
                                        base::pool_id const& pool);
    void on_begun(begun_stream const& stream);
    /// The stream goes on here at the version that began it.
    void on_resumed(std::string const& attempt, base::pool_id const& pool,
                    routing::version_digest version);
    /// Calls `done` once, after `answer_timeout` or, if the registry settles
    /// in time for the caller, shortly after that; with no value if the version
    /// can neither be found nor inferred. May call it before it returns. The
    /// finding tells why no version was found.
    void find(resumption const& stream, found_callback done);
    void on_message(routing::peer_ip from,
                    routing::stream_message const& message);
    origin_counts const& counts() const { return counts_; }
    /// Starts of streams that could not be kept in time.
    std::uint64_t late_starts() const { return keeper_.late_starts(); }

private:
    /// A stream that began at a version which is not known yet.
    struct unresolved_origin
    {
        routing::attempt_digest attempt_{};
        routing::stream_start start_;
        routing::target_info target_;
        base::time_point connected_at_;
        base::time_point begun_at_;
        base::time_point due_;
        /// Daemons that have asked for it.
        std::vector<routing::peer_ip> askers_;
    };

    /// A stream whose version is wanted.
    struct pending_resumption
    {
        resumption stream_;
        base::time_point since_;
        found_callback done_;
        /// What the latest reading of starts lacked.
        routing::origin_gap gap_ = routing::origin_gap::starts_unread;
        std::set<routing::daemon_incarnation> denied_by_{};
    };

    /// Asks for the versions of such streams.
    bool has_unresolved(base::pool_id const& pool, base::time_point until);
    void deny(routing::stream_message const& questions,
              routing::stream_message& reply) const;
    bool is_denied_here(routing::attempt_digest attempt) const;
    bool is_unresolved(routing::attempt_digest attempt) const;

    void resolve(unresolved_origin origin);
    bool is_wanted(unresolved_origin const& origin) const;
    void note_askers(routing::peer_ip from,
                     std::vector<routing::attempt_digest> const& questions);
    void resolve_due();
    void advance();
    void set_timer();
    void answer(routing::attempt_digest attempt,
                std::optional<routing::version_digest> version);
    void give_up(routing::attempt_digest attempt);
    void answer_held();
    void answer_from(routing::stream_message const& message);
    void count(routing::origin_finding const& finding);
    /// `gap`: why no version could be inferred, unless that was not possible in
    /// the state of the registry.
    routing::origin_finding
    finding_of(std::optional<routing::version_digest> version,
               routing::origin_gap gap) const;
    bool is_settled() const { return settled_at_() <= net::now(); }
    void advance_archive();
    void advance_starts();

    peer_exchange& peers_;
    version_finder version_of_;
    version_prover prove_;
    settled_finder settled_at_;
    routing::daemon_incarnation self_{base::entropy()};
    routing::stream_origins origins_;
    routing::origin_keeper keeper_{
        self_, [this](base::pool_id const& pool, base::time_point until)
        {
            return has_unresolved(pool, until);
        }};
    archive_callbacks archive_callbacks_{
        [](routing::origin_archive::batch const&) {},
        [] {
        }};
    /// When the store is asked for origins that no daemon has told.
    base::time_point read_archive_at_ = base::time_point::max();
    /// When the last usable reading of starts was sent, and what it found.
    std::optional<base::time_point> starts_asked_;
    std::size_t starts_found_ = 0;
    /// When the starts of streams are read next.
    base::time_point read_starts_at_ = base::time_point::max();
    std::vector<unresolved_origin> unresolved_;
    origin_counts counts_;
    std::multimap<routing::attempt_digest, pending_resumption> pending_;
    /// Streams that no daemon has told, and how long they wait for the registry
    /// to settle.
    std::map<routing::attempt_digest, base::time_point> held_;
    net::deadline_timer timer_;
};

} // namespace tanagerlead::entry
