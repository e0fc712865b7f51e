/** Retries: which attempts may follow, retry budgets, and claims on non-idempotent requests. */
package org.marigoldmill.core.attempt;
