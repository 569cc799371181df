#include "fake_target.hpp"
#include "shared_status.hpp"

#include <mulberryrudder/kernel/asio_duty.hpp>

#include <deque>

namespace mulberryrudder::fakes
{

namespace
{

constexpr int service_order = 100;

/// Serves the requests to all stand-ins of the process.
class service_duty final : public kernel::asio_duty
{
public:
    explicit service_duty(kernel::duty_parts const& given)
        : asio_duty(kernel::duty_name("service"), given)
    {
        std::uint64_t seed = 1;
        for (auto const& group : given.config.get(fake_section).groups)
            for (std::uint32_t n = 0; n != group.count; ++n)
                targets_.emplace_back(loop(), group, n, status_of(group, n), seed++);
    }

    void connect() override
    {
        for (auto& it : targets_)
            it.listen();
    }

protected:
    void started() override
    {
        for (auto& it : targets_)
            it.start();
    }
    void take_messages() override {}

private:
    std::deque<fake_target> targets_;
};

kernel::duty_registrar<service_duty> const entered{"service", service_order};

} // namespace

} // namespace mulberryrudder::fakes
