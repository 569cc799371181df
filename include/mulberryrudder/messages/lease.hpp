#ifndef MULBERRYRUDDER_MESSAGES_LEASE_HPP
#define MULBERRYRUDDER_MESSAGES_LEASE_HPP

#include <mulberryrudder/core/fleet_config.hpp>
#include <mulberryrudder/core/time.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace mulberryrudder::messages
{

/// Numbers the states of one leader's member list; comparable within a term only.
using member_version = strong_id<struct member_version_tag, std::uint64_t>;

/// Leads from the configuration of generation `base` to that of `changed.generation`.
/// Parts of `changed` replace or join those of the base; the others name what goes.
struct config_delta
{
    generation_id base;
    fleet_config changed; ///< Holds only what is new or different.
    std::vector<customer_id> customers_gone;
    std::vector<route_id> routes_gone;
    std::vector<link_id> link_caps_gone;
    std::vector<digest> quarantine_lifted;
    std::vector<instance_id> draining_ended;
};

/// What an entry instance uses and needs of one customer's rate.
struct customer_demand
{
    customer_id customer;
    millitokens_per_second wanted; ///< Arrivals since the last renewal, refused ones included.
    millitokens_per_second held_rate;
    millitokens held_burst;
    millitokens returned; ///< Tokens the instance gave up for good since the last renewal.
};

/// What an entry instance saw of one version on one route since the last renewal.
struct version_observation
{
    route_id route;
    version_id version;
    requests answered;
    requests failed;
    microseconds latency_sum; ///< Of the answered requests.
    microseconds latency_worst;
    bool tripped = false; ///< The instance withdrew the version by itself.
};

/// The part of a failure domain's slots that one entry instance may use, and does use.
struct domain_load
{
    domain_id domain;
    slots usable;
    slots busy;
};

/// Asks a control instance for a new lease; also carries the entry's report.
struct renew_request
{
    sequence_id sequence;
    boot_id boot;
    term_id highest_term; ///< Highest term the entry has accepted a grant of.
    generation_id held;   ///< Generation of the configuration the entry holds; 0 for none.
    instance_description self;
    bool stopping = false;
    std::vector<customer_demand> demand;
    std::vector<version_observation> observations;
    std::vector<domain_load> load;
    std::vector<digest>
        suspects;           ///< Fingerprints of requests a target died of, once for each death.
    sequence_id accepted;   ///< Newest sequence whose grant is in force; 0 for none.
    member_version members; ///< Version of the member list the entry holds; 0 for none.
    std::vector<domain_id> adopted; ///< Domains whose targets the entry took over.
};

/// An entry instance's part of a customer's rate and burst.
struct rate_slice
{
    customer_id customer;
    millitokens_per_second rate;
    millitokens burst;
    millitokens initial; ///< Tokens the slice may start with when it is new or larger.
};

/// The right to forward up to this many running requests into another failure domain.
struct headroom_grant
{
    domain_id to;
    slots running;
};

/// An entry instance that is known to the leader.
struct member
{
    instance_description where;
    bool live = false; ///< It holds a lease, as far as the leader knows.
    bool stopping = false;
    slots free; ///< Free slots of its failure domain by its last report.
};

/// Free slots of a failure domain by its entries' last reports.
struct domain_free
{
    domain_id domain;
    slots free;
};

/// Grants authority for `valid_for`, counted by the entry from when it sent the
/// renewal and by control from when it answered.
struct lease_grant
{
    sequence_id sequence; ///< Of the renewal that this answers.
    term_id term;
    microseconds valid_for;
    generation_id generation; ///< Newest; the entry must hold it to act for keyed routes.
    std::shared_ptr<fleet_config const> config; ///< Null if the entry holds the newest.
    std::vector<rate_slice> slices;
    std::vector<headroom_grant> headroom;
    std::vector<member> members;    ///< Whole in stage::leased(); on the wire only what changed.
    std::vector<domain_id> adopted; ///< Domains whose targets this instance takes over.
    std::shared_ptr<config_delta const> delta; ///< Instead of `config`, if the base is held.
    member_version members_base; ///< The list that `members` changes; 0 if it is whole.
    member_version members_now;  ///< The list after the change.
    std::vector<instance_id> members_gone;
    std::vector<domain_free> free; ///< Free slots of each failure domain that has some.
};

/// Refuses a renewal because the sender does not lead.
struct not_leader
{
    sequence_id sequence;
    term_id term;
    std::optional<instance_id> leader;
};

/// Tells an entry at once that a newer configuration was committed.
struct config_push
{
    term_id term;
    std::shared_ptr<fleet_config const> config; ///< Null if `delta` is given.
    std::shared_ptr<config_delta const> delta;
    bool relay = false; ///< The receiver passes it on to the live entries of its domain.
};

/// Asks for tokens of a customer now, ahead of the next renewal.
struct borrow_request
{
    sequence_id sequence;
    customer_id customer;
    millitokens wanted;
    boot_id boot;
    millitokens needed;  ///< Part of `wanted` for requests that wait already.
    sequence_id settled; ///< The entry uses no loan of this or an earlier sequence any more.
};

/// Lends tokens, to be spent within `valid_for`; zero refuses.
struct borrow_grant
{
    sequence_id sequence;
    term_id term;
    customer_id customer;
    millitokens lent;
    microseconds valid_for; ///< Counted by the entry from when it sent the request.
};

} // namespace mulberryrudder::messages

#endif
