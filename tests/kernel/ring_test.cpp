#include <mulberryrudder/kernel/ring.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <poll.h>

namespace mulberryrudder::kernel
{

namespace
{

bool is_signalled(waker const& it)
{
    pollfd polled{.fd = it.descriptor(), .events = POLLIN, .revents = 0};
    return ::poll(&polled, 1, 0) == 1;
}

class ring_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ring_test);
    CPPUNIT_TEST(messages_arrive_in_the_order_they_were_pushed);
    CPPUNIT_TEST(a_full_ring_refuses_and_leaves_the_message_to_its_producer);
    CPPUNIT_TEST(a_push_signals_an_armed_consumer_once);
    CPPUNIT_TEST(a_push_does_not_signal_a_busy_consumer);
    CPPUNIT_TEST_SUITE_END();

public:
    void messages_arrive_in_the_order_they_were_pushed()
    {
        CPPUNIT_ASSERT(ring_.try_push(1));
        CPPUNIT_ASSERT(ring_.try_push(2));
        int n = 0;
        CPPUNIT_ASSERT(ring_.try_pop(n));
        CPPUNIT_ASSERT_EQUAL(1, n);
        CPPUNIT_ASSERT(ring_.try_pop(n));
        CPPUNIT_ASSERT_EQUAL(2, n);
        CPPUNIT_ASSERT(!ring_.try_pop(n));
    }

    void a_full_ring_refuses_and_leaves_the_message_to_its_producer()
    {
        ring<std::unique_ptr<int>> owned(1, waker_);
        CPPUNIT_ASSERT(owned.try_push(std::make_unique<int>(1)));
        auto second = std::make_unique<int>(2);
        CPPUNIT_ASSERT(!owned.try_push(static_cast<std::unique_ptr<int>&&>(second)));
        CPPUNIT_ASSERT(second != nullptr);
        CPPUNIT_ASSERT_EQUAL(2, *second);
    }

    void a_push_signals_an_armed_consumer_once()
    {
        waker_.arm();
        ring_.try_push(1);
        CPPUNIT_ASSERT(is_signalled(waker_));
        waker_.consume();
        ring_.try_push(2);
        CPPUNIT_ASSERT(!is_signalled(waker_));
    }

    void a_push_does_not_signal_a_busy_consumer()
    {
        ring_.try_push(1);
        CPPUNIT_ASSERT(!is_signalled(waker_));
    }

private:
    waker waker_;
    ring<int> ring_{2, waker_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ring_test);

} // namespace

} // namespace mulberryrudder::kernel
