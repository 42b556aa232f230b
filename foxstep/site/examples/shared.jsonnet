// Several controllers share the proxies; the grace leaves time to detect a controller that is stopped.
(import 'crowd.jsonnet') + { name: 'shared', rules+: { grace: '4s' } }
