/* Makes calls of the C library fail or come short, by chance: recvmsg is interrupted (1 in 20) or reads 1 to 40 bytes (1 in 5),
 * accept4 is interrupted (1 in 20) or finds no descriptor (1 in 100). Loaded by LD_PRELOAD. Calls that a process makes without the C
 * library are not touched. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <sys/socket.h>
#include <sys/uio.h>

/* Xorshift; the sequence differs from thread to thread. */
static unsigned draw(unsigned bound)
{
    static __thread unsigned state;
    if (!state)
        state = (unsigned)(unsigned long)&state ^ 2463534242u;
    state ^= state << 13;
    state ^= state >> 17;
    state ^= state << 5;
    return state % bound;
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags)
{
    static ssize_t (*real)(int, struct msghdr *, int);
    if (!real)
        real = (ssize_t(*)(int, struct msghdr *, int))dlsym(RTLD_NEXT, "recvmsg");
    if (draw(20) == 0) {
        errno = EINTR;
        return -1;
    }
    if (draw(5) != 0 || message->msg_iovlen != 1 || message->msg_iov[0].iov_len < 40)
        return real(fd, message, flags);
    struct iovec *whole = message->msg_iov;
    struct iovec part = {whole->iov_base, 1 + draw(40)};
    message->msg_iov = &part;
    ssize_t len = real(fd, message, flags);
    message->msg_iov = whole;
    return len;
}

int accept4(int fd, struct sockaddr *address, socklen_t *len, int flags)
{
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (!real)
        real = (int (*)(int, struct sockaddr *, socklen_t *, int))dlsym(RTLD_NEXT, "accept4");
    unsigned drawn = draw(100);
    if (drawn < 6) {
        errno = drawn < 5 ? EINTR : EMFILE;
        return -1;
    }
    return real(fd, address, len, flags);
}
