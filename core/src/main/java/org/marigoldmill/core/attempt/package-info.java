/** Retries: whether another attempt is allowed, retry budgets, and claims to run a request. */
package org.marigoldmill.core.attempt;
