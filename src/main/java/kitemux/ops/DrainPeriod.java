package kitemux.ops;

/**
 * A drain of a server by hand that has ended.
 *
 * @param sinceUs its start, in microseconds of Unix time
 * @param untilUs its end, in microseconds of Unix time
 */
record DrainPeriod(long sinceUs, long untilUs) {}
