"""Whether a request gets another attempt: idempotency, budget, time-out; and whether its client retries."""
