/*
 * Preloaded into a gateway (LD_PRELOAD): makes system calls fail, or do less than asked, for a
 * while, in ways that Linux documents, and steps the wall clock. A file that is mapped by this
 * library and by the test says when: see `struct control`.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct control {
    double fail_until;   /* monotonic clock, s: system calls fail until then */
    double chance;       /* 0 to 1, of each call */
    double clock_step;   /* s, added to the wall clock */
};

static const struct control *control;
static uint32_t random_state = 12345;

static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static int (*real_socket)(int, int, int);
static ssize_t (*real_read)(int, void *, size_t);
static ssize_t (*real_write)(int, const void *, size_t);
static ssize_t (*real_writev)(int, const struct iovec *, int);
static int (*real_clock_gettime)(clockid_t, struct timespec *);

__attribute__((constructor)) static void start(void) {
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_accept = dlsym(RTLD_NEXT, "accept");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_read = dlsym(RTLD_NEXT, "read");
    real_write = dlsym(RTLD_NEXT, "write");
    real_writev = dlsym(RTLD_NEXT, "writev");
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    const char *path = getenv("TESTBED_SYSTEM_CALLS");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (mapped != MAP_FAILED)
        control = mapped;
}

/* Whether this call fails; one of so many errors is drawn. */
static int fails(void) {
    struct timespec now;
    if (control == NULL || control->fail_until == 0.0)
        return 0;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    if (now.tv_sec + now.tv_nsec / 1e9 >= control->fail_until)
        return 0;
    random_state = random_state * 1664525u + 1013904223u;
    return (random_state >> 8) / 16777216.0 < control->chance;
}

static int one_of(const int *errors, unsigned count) {
    random_state = random_state * 1664525u + 1013904223u;
    return errors[(random_state >> 16) % count];
}

static int is_inet_socket(int fd) {
    int domain = 0;
    socklen_t size = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
}

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT};
static const int SOCKET_ERRORS[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
static const int BROKEN_ERRORS[] = {ETIMEDOUT, EHOSTUNREACH};

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    if (is_inet_socket(fd) && fails()) {
        errno = one_of(ACCEPT_ERRORS, 6);
        return -1;
    }
    return real_accept4(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    if (is_inet_socket(fd) && fails()) {
        errno = one_of(ACCEPT_ERRORS, 6);
        return -1;
    }
    return real_accept(fd, address, size);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (address->sa_family == AF_INET && fails()) {
        errno = one_of(CONNECT_ERRORS, 4);
        return -1;
    }
    return real_connect(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && fails()) {
        errno = one_of(SOCKET_ERRORS, 4);
        return -1;
    }
    return real_socket(domain, type, protocol);
}

/* A connection that broke may show it by other errors than a reset. */
static ssize_t with_other_error(ssize_t result) {
    int error = errno;
    if (result < 0 && (error == ECONNRESET || error == EPIPE))
        errno = fails() ? one_of(BROKEN_ERRORS, 2) : error;
    return result;
}

/* Reads and writes are interrupted, or short. */
ssize_t read(int fd, void *buffer, size_t size) {
    if (size > 1 && fails() && is_inet_socket(fd)) {
        if (random_state & 0x10000) {
            errno = EINTR;
            return -1;
        }
        size = 1 + size / 7;
    }
    return with_other_error(real_read(fd, buffer, size));
}

ssize_t write(int fd, const void *buffer, size_t size) {
    if (size > 1 && fails() && is_inet_socket(fd)) {
        if (random_state & 0x10000) {
            errno = EINTR;
            return -1;
        }
        size = 1 + size / 3;
    }
    return with_other_error(real_write(fd, buffer, size));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (count > 0 && parts[0].iov_len > 1 && fails() && is_inet_socket(fd))
        return real_write(fd, parts[0].iov_base, 1 + parts[0].iov_len / 3);
    return with_other_error(real_writev(fd, parts, count));
}

static double step(clockid_t clock) {
    return control != NULL && clock == CLOCK_REALTIME ? control->clock_step : 0.0;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = real_clock_gettime(clock, now);
    if (result == 0)
        now->tv_sec += (time_t)step(clock);
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    (void)zone;
    struct timespec exact;
    int result = clock_gettime(CLOCK_REALTIME, &exact);
    now->tv_sec = exact.tv_sec;
    now->tv_usec = exact.tv_nsec / 1000;
    return result;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL)
        *result = now.tv_sec;
    return now.tv_sec;
}
